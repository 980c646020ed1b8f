#include "script/syntax.hpp"

#include <algorithm>
#include <array>

namespace ivyrill::script {

namespace {

constexpr std::array<std::string_view, 20> kKeywords = {
    "and", "break", "continue", "def",    "elif", "else", "for",   "if",    "in",     "load",
    "not", "or",    "pass",     "return", "None", "True", "False", "while", "lambda", "import"};
constexpr std::array<std::string_view, 12> kLongOperators = {
    "//=", "==", "!=", "<=", ">=", "+=", "-=", "*=", "/=", "//", "%=", "**"};
constexpr std::string_view kOperators = "+-*/%<>=()[]{},:.|";
constexpr std::size_t kMaxIndents = 64;

bool is_digit(char character) { return character >= '0' && character <= '9'; }
bool starts_name(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           character == '_';
}

class Lexer {
  public:
    Lexer(const std::string& file, std::string_view text) : text_(text) { location_.file = file; }

    std::vector<Token> read() {
        while (position_ < text_.size()) {
            if (at_line_start_ && open_brackets_ == 0 && !read_indent()) continue;
            read_token();
        }
        if (!tokens_.empty() && tokens_.back().kind != TokenKind::kNewLine)
            add(TokenKind::kNewLine, "", location_);
        for (; indents_.size() > 1; indents_.pop_back()) add(TokenKind::kDedent, "", location_);
        if (open_brackets_ > 0)
            throw ScriptError(bracket_location_, "expected the closing bracket of this one");
        add(TokenKind::kEnd, "", location_);
        return std::move(tokens_);
    }

  private:
    char peek(std::size_t ahead = 0) const {
        return position_ + ahead < text_.size() ? text_[position_ + ahead] : '\0';
    }
    char next() {
        const char character = text_[position_++];
        if (character == '\n')
            ++location_.line, location_.column = 1;
        else
            ++location_.column;
        return character;
    }
    void add(TokenKind kind, std::string text, const SourceLocation& location) {
        tokens_.push_back({kind, std::move(text), location});
    }

    // Returns false for an empty line.
    bool read_indent() {
        std::size_t width = 0;
        while (peek() == ' ' || peek() == '\t') {
            if (peek() == '\t')
                throw ScriptError(location_, "expected blanks, not a tab, at the start of a line");
            next(), ++width;
        }
        if (peek() == '#' || peek() == '\n' || peek() == '\r') {
            while (position_ < text_.size() && next() != '\n') {}
            return false;
        }
        if (position_ == text_.size()) return false;
        at_line_start_ = false;
        if (width > indents_.back()) {
            if (indents_.size() > kMaxIndents) throw ScriptError(location_, "nested too deeply");
            indents_.push_back(width), add(TokenKind::kIndent, "", location_);
        }
        for (; width < indents_.back(); indents_.pop_back()) add(TokenKind::kDedent, "", location_);
        if (width != indents_.back()) throw ScriptError(location_, "expected the indent of a line above");
        return true;
    }

    void read_token() {
        const SourceLocation location = location_;
        const char character = peek();
        if (character == '\n') {
            next();
            if (open_brackets_ == 0) add(TokenKind::kNewLine, "", location), at_line_start_ = true;
        } else if (character == ' ' || character == '\t' || character == '\r') {
            next();
        } else if (character == '#') {
            while (position_ < text_.size() && peek() != '\n') next();
        } else if (character == '\\' && (peek(1) == '\n')) {
            next(), next();
        } else if (character == '"' || character == '\'') {
            read_string(location, false);
        } else if (character == 'r' && (peek(1) == '"' || peek(1) == '\'')) {
            next();
            read_string(location, true);
        } else if (starts_name(character)) {
            std::string name;
            while (starts_name(peek()) || is_digit(peek())) name += next();
            const bool keyword = std::ranges::find(kKeywords, name) != kKeywords.end();
            add(keyword ? TokenKind::kKeyword : TokenKind::kName, name, location);
        } else if (is_digit(character) || (character == '.' && is_digit(peek(1)))) {
            read_number(location);
        } else {
            read_operator(location);
        }
    }

    void read_number(const SourceLocation& location) {
        std::string text;
        bool real = false;
        const bool has_base_prefix = peek() == '0' && (peek(1) == 'x' || peek(1) == 'o' || peek(1) == 'X');
        if (has_base_prefix) text += next(), text += next();
        while (is_digit(peek()) || starts_name(peek()) || peek() == '.' ||
               (!has_base_prefix && (peek() == '+' || peek() == '-') && !text.empty() &&
                (text.back() == 'e' || text.back() == 'E'))) {
            real = real || (!has_base_prefix && (peek() == '.' || peek() == 'e' || peek() == 'E'));
            text += next();
        }
        add(real ? TokenKind::kFloat : TokenKind::kInt, text, location);
    }

    void read_operator(const SourceLocation& location) {
        for (const std::string_view op : kLongOperators) {
            if (text_.substr(position_, op.size()) != op) continue;
            for (std::size_t i = 0; i < op.size(); ++i) next();
            return add(TokenKind::kOperator, std::string(op), location);
        }
        const char character = peek();
        if (kOperators.find(character) == std::string_view::npos)
            throw ScriptError(location, std::string("unexpected character '") + character + "'");
        next();
        if (character == '(' || character == '[' || character == '{')
            bracket_location_ = location, ++open_brackets_;
        if ((character == ')' || character == ']' || character == '}') && open_brackets_ > 0)
            --open_brackets_;
        add(TokenKind::kOperator, std::string(1, character), location);
    }

    void read_string(const SourceLocation& location, bool raw) {
        const char quote = next();
        const bool triple = peek() == quote && peek(1) == quote;
        if (triple) next(), next();
        std::string value;
        for (;;) {
            if (position_ == text_.size() || (!triple && peek() == '\n'))
                throw ScriptError(location, "expected the closing quote of this string");
            const char character = next();
            if (character == quote && (!triple || (peek() == quote && peek(1) == quote))) {
                if (triple) next(), next();
                break;
            }
            if (character != '\\' || position_ == text_.size())
                value += character;
            else if (raw)
                value += character, value += next();
            else
                value += read_escape(location);
        }
        add(TokenKind::kString, std::move(value), location);
    }

    std::string read_escape(const SourceLocation& location) {
        switch (const char character = next()) {
        case 'n':
            return "\n";
        case 't':
            return "\t";
        case 'r':
            return "\r";
        case '\\':
        case '\'':
        case '"':
            return std::string(1, character);
        case '\n':
            return "";
        case 'x': {
            int value = 0;
            for (int i = 0; i < 2; ++i) {
                const char digit = position_ < text_.size() ? next() : '\0';
                const std::size_t digit_value =
                    std::string_view("0123456789abcdef").find(static_cast<char>(digit | 0x20));
                if (digit_value == std::string_view::npos)
                    throw ScriptError(location, "expected two digits after \\x");
                value = value * 16 + static_cast<int>(digit_value);
            }
            if (value > 0x7F) throw ScriptError(location, "expected \\x00 to \\x7f");
            return std::string(1, static_cast<char>(value));
        }
        default:
            throw ScriptError(location, std::string("expected a known escape, not '\\") + character + "'");
        }
    }

    std::string_view text_;
    std::size_t position_ = 0;
    SourceLocation location_, bracket_location_;
    int open_brackets_ = 0; // number of open brackets
    bool at_line_start_ = true;
    std::vector<std::size_t> indents_ = {0};
    std::vector<Token> tokens_;
};

} // namespace

std::vector<Token> tokenize(const std::string& file, std::string_view text) {
    return Lexer(file, text).read();
}

} // namespace ivyrill::script
