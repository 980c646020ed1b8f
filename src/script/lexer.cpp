#include "script/syntax.hpp"

#include <algorithm>
#include <array>

namespace ivyrill::script {

namespace {

constexpr std::array<std::string_view, 20> kKeywords = {
    "and", "break", "continue", "def",    "elif", "else", "for",   "if",    "in",     "load",
    "not", "or",    "pass",     "return", "None", "True", "False", "while", "lambda", "import"};
constexpr std::array<std::string_view, 12> kLongSigns = {
    "//=", "==", "!=", "<=", ">=", "+=", "-=", "*=", "/=", "//", "%=", "**"};
constexpr std::string_view kSigns = "+-*/%<>=()[]{},:.|";
constexpr std::size_t kMostIndents = 64;

bool is_digit(char letter) { return letter >= '0' && letter <= '9'; }
bool starts_name(char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || letter == '_';
}

class Reader {
  public:
    Reader(const std::string& file, std::string_view text) : text_(text) { here_.file = file; }

    std::vector<Token> read() {
        while (at_ < text_.size()) {
            if (line_start_ && open_ == 0 && !indent()) continue;
            step();
        }
        if (!words_.empty() && words_.back().word != Word::kNewLine) add(Word::kNewLine, "", here_);
        for (; indents_.size() > 1; indents_.pop_back()) add(Word::kDedent, "", here_);
        if (open_ > 0) throw ScriptError(opened_, "expected the closing bracket of this one");
        add(Word::kEnd, "", here_);
        return std::move(words_);
    }

  private:
    char peek(std::size_t ahead = 0) const { return at_ + ahead < text_.size() ? text_[at_ + ahead] : '\0'; }
    char next() {
        const char letter = text_[at_++];
        if (letter == '\n')
            ++here_.line, here_.column = 1;
        else
            ++here_.column;
        return letter;
    }
    void add(Word word, std::string text, const Place& place) {
        words_.push_back({word, std::move(text), place});
    }

    // False for a line that holds nothing.
    bool indent() {
        std::size_t width = 0;
        while (peek() == ' ' || peek() == '\t') {
            if (peek() == '\t')
                throw ScriptError(here_, "expected blanks, not a tab, at the start of a line");
            next(), ++width;
        }
        if (peek() == '#' || peek() == '\n' || peek() == '\r') {
            while (at_ < text_.size() && next() != '\n') {}
            return false;
        }
        if (at_ == text_.size()) return false;
        line_start_ = false;
        if (width > indents_.back()) {
            if (indents_.size() > kMostIndents) throw ScriptError(here_, "nested too deeply");
            indents_.push_back(width), add(Word::kIndent, "", here_);
        }
        for (; width < indents_.back(); indents_.pop_back()) add(Word::kDedent, "", here_);
        if (width != indents_.back()) throw ScriptError(here_, "expected the indent of a line above");
        return true;
    }

    void step() {
        const Place place = here_;
        const char letter = peek();
        if (letter == '\n') {
            next();
            if (open_ == 0) add(Word::kNewLine, "", place), line_start_ = true;
        } else if (letter == ' ' || letter == '\t' || letter == '\r') {
            next();
        } else if (letter == '#') {
            while (at_ < text_.size() && peek() != '\n') next();
        } else if (letter == '\\' && (peek(1) == '\n')) {
            next(), next();
        } else if (letter == '"' || letter == '\'') {
            text_literal(place, false);
        } else if (letter == 'r' && (peek(1) == '"' || peek(1) == '\'')) {
            next();
            text_literal(place, true);
        } else if (starts_name(letter)) {
            std::string name;
            while (starts_name(peek()) || is_digit(peek())) name += next();
            const bool keyword = std::ranges::find(kKeywords, name) != kKeywords.end();
            add(keyword ? Word::kKeyword : Word::kName, name, place);
        } else if (is_digit(letter) || (letter == '.' && is_digit(peek(1)))) {
            number(place);
        } else {
            sign(place);
        }
    }

    void number(const Place& place) {
        std::string text;
        bool real = false;
        const bool based = peek() == '0' && (peek(1) == 'x' || peek(1) == 'o' || peek(1) == 'X');
        if (based) text += next(), text += next();
        while (is_digit(peek()) || starts_name(peek()) || peek() == '.' ||
               (!based && (peek() == '+' || peek() == '-') && !text.empty() &&
                (text.back() == 'e' || text.back() == 'E'))) {
            real = real || (!based && (peek() == '.' || peek() == 'e' || peek() == 'E'));
            text += next();
        }
        add(real ? Word::kFloat : Word::kInt, text, place);
    }

    void sign(const Place& place) {
        for (const std::string_view sign : kLongSigns) {
            if (text_.substr(at_, sign.size()) != sign) continue;
            for (std::size_t i = 0; i < sign.size(); ++i) next();
            return add(Word::kSign, std::string(sign), place);
        }
        const char letter = peek();
        if (kSigns.find(letter) == std::string_view::npos)
            throw ScriptError(place, std::string("expected a word of the script, not '") + letter + "'");
        next();
        if (letter == '(' || letter == '[' || letter == '{') opened_ = place, ++open_;
        if ((letter == ')' || letter == ']' || letter == '}') && open_ > 0) --open_;
        add(Word::kSign, std::string(1, letter), place);
    }

    void text_literal(const Place& place, bool raw) {
        const char quote = next();
        const bool triple = peek() == quote && peek(1) == quote;
        if (triple) next(), next();
        std::string value;
        for (;;) {
            if (at_ == text_.size() || (!triple && peek() == '\n'))
                throw ScriptError(place, "expected the closing quote of this text");
            const char letter = next();
            if (letter == quote && (!triple || (peek() == quote && peek(1) == quote))) {
                if (triple) next(), next();
                break;
            }
            if (letter != '\\' || at_ == text_.size())
                value += letter;
            else if (raw)
                value += letter, value += next();
            else
                value += escape(place);
        }
        add(Word::kText, std::move(value), place);
    }

    std::string escape(const Place& place) {
        switch (const char letter = next()) {
        case 'n':
            return "\n";
        case 't':
            return "\t";
        case 'r':
            return "\r";
        case '\\':
        case '\'':
        case '"':
            return std::string(1, letter);
        case '\n':
            return "";
        case 'x': {
            int value = 0;
            for (int i = 0; i < 2; ++i) {
                const char digit = at_ < text_.size() ? next() : '\0';
                const std::size_t worth =
                    std::string_view("0123456789abcdef").find(static_cast<char>(digit | 0x20));
                if (worth == std::string_view::npos)
                    throw ScriptError(place, "expected two digits after \\x");
                value = value * 16 + static_cast<int>(worth);
            }
            if (value > 0x7F) throw ScriptError(place, "expected \\x00 to \\x7f");
            return std::string(1, static_cast<char>(value));
        }
        default:
            throw ScriptError(place, std::string("expected a known escape, not '\\") + letter + "'");
        }
    }

    std::string_view text_;
    std::size_t at_ = 0;
    Place here_, opened_;
    int open_ = 0; // brackets
    bool line_start_ = true;
    std::vector<std::size_t> indents_ = {0};
    std::vector<Token> words_;
};

} // namespace

std::vector<Token> read_words(const std::string& file, std::string_view text) {
    return Reader(file, text).read();
}

} // namespace ivyrill::script
