#include "script/syntax.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>

namespace ivyrill::script {

namespace {

constexpr int kMostHeight = 400;  // of a chain of operators, which nests to the left
constexpr int kMostNesting = 100; // of expressions and blocks: the reader calls itself for each

class Parser {
  public:
    Parser(const std::string& file, std::string_view text) : words_(read_words(file, text)) {}

    Block script() {
        Block block;
        while (here().word != Word::kEnd) statement(block);
        return block;
    }

  private:
    struct Deeper { // guards the stack against a text of brackets
        explicit Deeper(Parser& parser) : parser(parser) {
            if (++parser.depth_ > kMostNesting) throw ScriptError(parser.here().place, "nested too deeply");
        }
        ~Deeper() { --parser.depth_; }
        Parser& parser;
    };

    const Token& here() const { return words_[at_]; }
    bool is(std::string_view text) const {
        return here().text == text && (here().word == Word::kSign || here().word == Word::kKeyword);
    }
    bool take(std::string_view text) { return is(text) ? (++at_, true) : false; }
    static std::string named(const Token& token) {
        switch (token.word) {
        case Word::kEnd:
            return "the end of the file";
        case Word::kNewLine:
            return "the end of the line";
        case Word::kIndent:
            return "a deeper indent";
        case Word::kDedent:
            return "the end of the block";
        case Word::kText:
            return "a text";
        default:
            return "'" + token.text.substr(0, 40) + "'";
        }
    }
    [[noreturn]] void wanted(const std::string& what) const {
        throw ScriptError(here().place, "expected " + what + ", got " + named(here()));
    }
    void must(std::string_view text) {
        if (!take(text)) wanted("'" + std::string(text) + "'");
    }
    std::string name(const char* what) {
        if (here().word != Word::kName) wanted(what);
        return words_[at_++].text;
    }
    void line_end() {
        if (here().word == Word::kEnd) return;
        if (here().word != Word::kNewLine) wanted("the end of the line");
        ++at_;
    }

    Block block() {
        const Deeper guard(*this);
        must(":");
        Block block;
        if (here().word != Word::kNewLine) {
            simple(block);
            return block;
        }
        ++at_;
        if (here().word != Word::kIndent) wanted("an indented block");
        ++at_;
        while (here().word != Word::kDedent && here().word != Word::kEnd) statement(block);
        if (here().word == Word::kDedent) ++at_;
        return block;
    }

    void statement(Block& into) {
        for (const std::string_view word : {"while", "lambda", "import"})
            if (is(word))
                throw ScriptError(here().place, "'" + std::string(word) + "' is not in this language");
        if (here().word == Word::kIndent) wanted("a statement at the indent of the line above");
        if (!is("def") && !is("for") && !is("if")) return simple(into);
        auto made = std::make_unique<Statement>();
        made->place = here().place;
        if (take("def")) {
            define(*made);
        } else if (take("for")) {
            made->act = Act::kFor;
            made->target = targets();
            must("in");
            made->value = tuple_or_one();
            ++loops_;
            made->body = block();
            --loops_;
        } else {
            must("if");
            branch(*made);
        }
        into.push_back(std::move(made));
    }

    void branch(Statement& made) {
        made.act = Act::kIf;
        made.value = expression();
        made.body = block();
        if (is("elif")) {
            const Deeper guard(*this);
            auto other = std::make_unique<Statement>();
            other->place = here().place;
            must("elif");
            branch(*other);
            made.otherwise.push_back(std::move(other));
        } else if (take("else")) {
            made.otherwise = block();
        }
    }

    void define(Statement& made) {
        made.act = Act::kDef;
        made.def = std::make_unique<Def>();
        Def& def = *made.def;
        def.name = name("the function's name");
        must("(");
        while (!take(")")) {
            Parameter parameter{name("a parameter"), nullptr};
            if (std::ranges::count(def.parameters, parameter.name, &Parameter::name) > 0)
                throw ScriptError(here().place, "two parameters are named '" + parameter.name + "'");
            if (take("="))
                parameter.otherwise = expression();
            else if (!def.parameters.empty() && def.parameters.back().otherwise)
                wanted("a default, as the parameter before has one");
            def.parameters.push_back(std::move(parameter));
            if (!is(")")) must(",");
        }
        const int loops = std::exchange(loops_, 0);
        ++defs_;
        def.body = block();
        --defs_, loops_ = loops;
    }

    void simple(Block& into) {
        auto made = std::make_unique<Statement>();
        made->place = here().place;
        if (take("pass")) {
            made->act = Act::kPass;
        } else if (is("break") || is("continue")) {
            if (loops_ == 0) throw ScriptError(here().place, "expected a loop around '" + here().text + "'");
            made->act = here().text == "break" ? Act::kBreak : Act::kContinue, ++at_;
        } else if (take("return")) {
            if (defs_ == 0) throw ScriptError(made->place, "expected a function around 'return'");
            made->act = Act::kReturn;
            if (here().word != Word::kNewLine && here().word != Word::kEnd) made->value = tuple_or_one();
        } else if (take("load")) {
            load(*made);
        } else {
            made->value = tuple_or_one();
            static constexpr std::array<std::string_view, 6> kAugment = {"+=", "-=", "*=", "/=", "//=", "%="};
            if (take("=")) {
                made->act = Act::kAssign, made->target = assignable(std::move(made->value));
                made->value = tuple_or_one();
                if (is("=")) wanted("one assignment a line");
            } else if (here().word == Word::kSign &&
                       std::ranges::find(kAugment, here().text) != kAugment.end()) {
                made->act = Act::kAugment, made->text = here().text.substr(0, here().text.size() - 1), ++at_;
                made->target = assignable(std::move(made->value));
                if (made->target->form == Form::kTuple || made->target->form == Form::kList)
                    throw ScriptError(made->place, "expected one name before an augmented assignment");
                made->value = tuple_or_one();
            } else {
                made->act = Act::kExpression;
            }
        }
        line_end();
        into.push_back(std::move(made));
    }

    void load(Statement& made) {
        made.act = Act::kLoad;
        if (defs_ > 0 || loops_ > 0 || depth_ > 0)
            throw ScriptError(made.place, "expected 'load' outside of blocks");
        must("(");
        if (here().word != Word::kText) wanted("the file's name, as a text");
        made.text = words_[at_++].text;
        while (take(",") && !is(")")) {
            std::string mine;
            if (here().word == Word::kName) mine = words_[at_++].text, must("=");
            if (here().word != Word::kText) wanted("a name to load, as a text");
            const std::string theirs = words_[at_++].text;
            if (theirs.starts_with("_"))
                throw ScriptError(made.place, "'" + theirs + "' is private to its file");
            made.loads.emplace_back(mine.empty() ? theirs : mine, theirs);
        }
        must(")");
        if (made.loads.empty()) throw ScriptError(made.place, "expected names to load");
    }

    ExpressionPtr assignable(ExpressionPtr target) const {
        const bool list = target->form == Form::kTuple || target->form == Form::kList;
        if (!list && target->form != Form::kName && target->form != Form::kIndex)
            throw ScriptError(target->place, "expected a name, an index or a list of them before '='");
        if (list)
            for (ExpressionPtr& part : target->parts) part = assignable(std::move(part));
        return target;
    }

    static ExpressionPtr make(Form form, const Place& place) {
        auto made = std::make_unique<Expression>();
        made->form = form, made->place = place;
        return made;
    }

    ExpressionPtr targets() {
        ExpressionPtr first = unary();
        if (is(",")) {
            ExpressionPtr tuple = make(Form::kTuple, first->place);
            tuple->parts.push_back(std::move(first));
            while (take(",") && !is("in")) tuple->parts.push_back(unary());
            first = std::move(tuple);
        }
        return assignable(std::move(first));
    }

    ExpressionPtr tuple_or_one() {
        ExpressionPtr first = expression();
        if (!is(",")) return first;
        ExpressionPtr tuple = make(Form::kTuple, first->place);
        tuple->parts.push_back(std::move(first));
        while (take(",") && here().word != Word::kNewLine && !is("=") && !is(")"))
            tuple->parts.push_back(expression());
        return tuple;
    }

    ExpressionPtr expression() {
        const Deeper guard(*this);
        ExpressionPtr value = either();
        if (!is("if")) return value;
        ExpressionPtr choice = make(Form::kChoice, here().place);
        must("if");
        choice->parts.push_back(either());
        must("else");
        choice->parts.push_back(std::move(value));
        choice->parts.push_back(expression());
        return choice;
    }

    ExpressionPtr either() {
        ExpressionPtr left = both();
        while (is("or")) left = binary(Form::kOr, std::move(left), [this] { return both(); });
        return left;
    }
    ExpressionPtr both() {
        ExpressionPtr left = negation();
        while (is("and")) left = binary(Form::kAnd, std::move(left), [this] { return negation(); });
        return left;
    }
    ExpressionPtr negation() {
        const Deeper guard(*this);
        if (!is("not")) return comparison();
        ExpressionPtr made = make(Form::kUnary, here().place);
        made->text = "not", ++at_;
        made->parts.push_back(negation());
        return made;
    }
    ExpressionPtr comparison() {
        ExpressionPtr left = sum();
        const auto compares = [this] {
            static constexpr std::array<std::string_view, 7> kSigns = {"==", "!=", "<", ">",
                                                                       "<=", ">=", "in"};
            return std::ranges::any_of(kSigns, [this](auto sign) { return is(sign); }) ||
                   (is("not") && words_[at_ + 1].text == "in");
        };
        if (!compares()) return left;
        const bool negated = is("not");
        if (negated) ++at_;
        left = binary(Form::kBinary, std::move(left), [this] { return sum(); });
        if (negated) left->text = "not in";
        if (compares()) wanted("'and' between comparisons");
        return left;
    }
    ExpressionPtr sum() {
        ExpressionPtr left = request_class();
        while (is("+") || is("-") || is("|"))
            left = binary(Form::kBinary, std::move(left), [this] { return request_class(); });
        return left;
    }
    ExpressionPtr request_class() {
        ExpressionPtr left = unary();
        while (is("*") || is("/") || is("//") || is("%"))
            left = binary(Form::kBinary, std::move(left), [this] { return unary(); });
        return left;
    }
    static void taller(Expression& made, const Expression& below) {
        made.height = below.height + 1;
        if (made.height > kMostHeight) throw ScriptError(made.place, "too long a chain of operators");
    }
    template <class Right> ExpressionPtr binary(Form form, ExpressionPtr left, Right right) {
        ExpressionPtr made = make(form, here().place);
        made->text = words_[at_++].text;
        taller(*made, *left);
        made->parts.push_back(std::move(left));
        made->parts.push_back(right());
        return made;
    }
    ExpressionPtr unary() {
        const Deeper guard(*this);
        if (!is("-") && !is("+")) return suffixed();
        ExpressionPtr made = make(Form::kUnary, here().place);
        made->text = words_[at_++].text;
        made->parts.push_back(unary());
        return made;
    }

    ExpressionPtr suffixed() {
        ExpressionPtr value = primary();
        for (;;) {
            const Place place = here().place;
            if (take(".")) {
                ExpressionPtr made = make(Form::kAttribute, place);
                made->text = name("a name after '.'");
                taller(*made, *value);
                made->parts.push_back(std::move(value));
                value = std::move(made);
            } else if (take("(")) {
                value = call(std::move(value), place);
            } else if (take("[")) {
                value = index(std::move(value), place);
            } else {
                return value;
            }
        }
    }

    ExpressionPtr call(ExpressionPtr callee, const Place& place) {
        ExpressionPtr made = make(Form::kCall, place);
        taller(*made, *callee);
        made->parts.push_back(std::move(callee));
        while (!take(")")) {
            std::string given;
            if (here().word == Word::kName && words_[at_ + 1].word == Word::kSign &&
                words_[at_ + 1].text == "=") {
                given = here().text, at_ += 2;
                if (std::ranges::count(made->names, given) > 0)
                    throw ScriptError(here().place, "argument '" + given + "' stands twice");
            } else if (!made->names.empty() && !made->names.back().empty()) {
                wanted("a name for this argument, as the one before has one");
            }
            made->names.push_back(given);
            made->parts.push_back(expression());
            if (is("for")) wanted("brackets round a comprehension");
            if (!is(")")) must(",");
        }
        return made;
    }

    ExpressionPtr index(ExpressionPtr value, const Place& place) {
        ExpressionPtr made = make(Form::kIndex, place);
        taller(*made, *value);
        made->parts.push_back(std::move(value));
        made->parts.push_back(is(":") ? nullptr : tuple_or_one());
        if (is(":")) {
            made->form = Form::kSlice;
            for (int i = 0; i < 2 && take(":"); ++i)
                made->parts.push_back(is(":") || is("]") ? nullptr : expression());
            made->parts.resize(4);
        }
        must("]");
        return made;
    }

    std::vector<Clause> clauses(std::string_view end) {
        std::vector<Clause> made;
        while (!is(end)) {
            Clause clause;
            if (take("for")) {
                clause.target = targets();
                must("in");
                clause.source = either();
            } else if (take("if")) {
                clause.is_if = true, clause.source = either();
            } else {
                wanted("'for', 'if' or '" + std::string(end) + "'");
            }
            made.push_back(std::move(clause));
        }
        return made;
    }

    ExpressionPtr primary() {
        const Token token = here();
        if (token.word == Word::kName) {
            ExpressionPtr made = make(Form::kName, token.place);
            made->text = token.text, ++at_;
            return made;
        }
        if (token.word == Word::kText || token.word == Word::kInt || token.word == Word::kFloat ||
            is("None") || is("True") || is("False")) {
            ExpressionPtr made = constant(token);
            ++at_;
            if (token.word == Word::kText && here().word == Word::kText) wanted("'+' between texts");
            return made;
        }
        if (take("(")) {
            if (take(")")) return make(Form::kTuple, token.place);
            ExpressionPtr value = tuple_or_one();
            must(")");
            return value;
        }
        if (take("[")) {
            ExpressionPtr made = make(Form::kList, token.place);
            if (take("]")) return made;
            made->parts.push_back(expression());
            if (is("for")) {
                made->form = Form::kComprehension, made->clauses = clauses("]");
                must("]");
                return made;
            }
            while (!take("]")) {
                must(",");
                if (!is("]")) made->parts.push_back(expression());
            }
            return made;
        }
        if (take("{")) return dict(token.place);
        wanted("a value");
    }

    ExpressionPtr dict(const Place& place) {
        ExpressionPtr made = make(Form::kDict, place);
        while (!take("}")) {
            made->parts.push_back(expression());
            must(":");
            made->parts.push_back(expression());
            if (made->parts.size() == 2 && is("for")) {
                made->form = Form::kDictComprehension, made->clauses = clauses("}");
                must("}");
                return made;
            }
            if (!is("}")) must(",");
        }
        return made;
    }

    static ExpressionPtr constant(const Token& token) {
        ExpressionPtr made = make(Form::kConstant, token.place);
        if (token.word == Word::kText) {
            made->constant = token.text;
        } else if (token.word == Word::kFloat) {
            char* end = nullptr;
            made->constant = std::strtod(token.text.c_str(), &end);
            if (*end != '\0') throw ScriptError(token.place, "expected a number, got '" + token.text + "'");
        } else if (token.word == Word::kInt) {
            std::string_view digits = token.text;
            int base = 10;
            if (digits.size() > 2 && digits[0] == '0' && (digits[1] == 'x' || digits[1] == 'X')) base = 16;
            if (digits.size() > 2 && digits[0] == '0' && digits[1] == 'o') base = 8;
            if (base != 10) digits.remove_prefix(2);
            std::int64_t whole = 0;
            const auto [end, error] =
                std::from_chars(digits.data(), digits.data() + digits.size(), whole, base);
            if (error != std::errc{} || end != digits.data() + digits.size())
                throw ScriptError(token.place,
                                  "expected a whole number of 64 bits, got '" + token.text + "'");
            made->constant = whole;
        } else if (token.text == "None") {
            made->constant = None{};
        } else {
            made->constant = token.text == "True";
        }
        return made;
    }

    std::vector<Token> words_;
    std::size_t at_ = 0;
    int depth_ = 0, loops_ = 0, defs_ = 0;
};

} // namespace

Block read_script(const std::string& file, std::string_view text) { return Parser(file, text).script(); }

} // namespace ivyrill::script
