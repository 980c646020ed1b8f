#include "script/syntax.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>

namespace ivyrill::script {

namespace {

constexpr int kMaxHeight = 400;  // of a chain of left-associative operators
constexpr int kMaxNesting = 100; // of expressions and blocks, since the parser is recursive

class Parser {
  public:
    Parser(const std::string& file, std::string_view text) : tokens_(tokenize(file, text)) {}

    Block script() {
        Block block;
        while (current().kind != TokenKind::kEnd) statement(block);
        return block;
    }

  private:
    struct DepthGuard { // limits recursion, for example in deeply nested brackets
        explicit DepthGuard(Parser& parser) : parser(parser) {
            if (++parser.depth_ > kMaxNesting)
                throw ScriptError(parser.current().location, "nested too deeply");
        }
        ~DepthGuard() { --parser.depth_; }
        Parser& parser;
    };

    const Token& current() const { return tokens_[position_]; }
    bool is(std::string_view text) const {
        return current().text == text &&
               (current().kind == TokenKind::kOperator || current().kind == TokenKind::kKeyword);
    }
    bool accept(std::string_view text) { return is(text) ? (++position_, true) : false; }
    static std::string describe(const Token& token) {
        switch (token.kind) {
        case TokenKind::kEnd:
            return "the end of the file";
        case TokenKind::kNewLine:
            return "the end of the line";
        case TokenKind::kIndent:
            return "a deeper indent";
        case TokenKind::kDedent:
            return "the end of the block";
        case TokenKind::kString:
            return "a string";
        default:
            return "'" + token.text.substr(0, 40) + "'";
        }
    }
    [[noreturn]] void fail_expected(const std::string& what) const {
        throw ScriptError(current().location, "expected " + what + ", got " + describe(current()));
    }
    void expect(std::string_view text) {
        if (!accept(text)) fail_expected("'" + std::string(text) + "'");
    }
    std::string expect_name(const char* what) {
        if (current().kind != TokenKind::kName) fail_expected(what);
        return tokens_[position_++].text;
    }
    void expect_line_end() {
        if (current().kind == TokenKind::kEnd) return;
        if (current().kind != TokenKind::kNewLine) fail_expected("the end of the line");
        ++position_;
    }

    Block block() {
        const DepthGuard guard(*this);
        expect(":");
        Block block;
        if (current().kind != TokenKind::kNewLine) {
            simple_statement(block);
            return block;
        }
        ++position_;
        if (current().kind != TokenKind::kIndent) fail_expected("an indented block");
        ++position_;
        while (current().kind != TokenKind::kDedent && current().kind != TokenKind::kEnd) statement(block);
        if (current().kind == TokenKind::kDedent) ++position_;
        return block;
    }

    void statement(Block& into) {
        for (const std::string_view keyword : {"while", "lambda", "import"})
            if (is(keyword))
                throw ScriptError(current().location,
                                  "'" + std::string(keyword) + "' is not in this language");
        if (current().kind == TokenKind::kIndent)
            fail_expected("a statement at the indent of the line above");
        if (!is("def") && !is("for") && !is("if")) return simple_statement(into);
        auto node = std::make_unique<Statement>();
        node->location = current().location;
        if (accept("def")) {
            function_definition(*node);
        } else if (accept("for")) {
            node->kind = StatementKind::kFor;
            node->target = assignment_targets();
            expect("in");
            node->value = expression_list();
            ++loop_depth_;
            node->body = block();
            --loop_depth_;
        } else {
            expect("if");
            if_statement(*node);
        }
        into.push_back(std::move(node));
    }

    void if_statement(Statement& node) {
        node.kind = StatementKind::kIf;
        node.value = expression();
        node.body = block();
        if (is("elif")) {
            const DepthGuard guard(*this);
            auto other = std::make_unique<Statement>();
            other->location = current().location;
            expect("elif");
            if_statement(*other);
            node.else_block.push_back(std::move(other));
        } else if (accept("else")) {
            node.else_block = block();
        }
    }

    void function_definition(Statement& node) {
        node.kind = StatementKind::kDef;
        node.def = std::make_unique<Def>();
        Def& def = *node.def;
        def.name = expect_name("the function's name");
        expect("(");
        while (!accept(")")) {
            Parameter parameter{expect_name("a parameter"), nullptr};
            if (std::ranges::count(def.parameters, parameter.name, &Parameter::name) > 0)
                throw ScriptError(current().location, "two parameters are named '" + parameter.name + "'");
            if (accept("="))
                parameter.default_value = expression();
            else if (!def.parameters.empty() && def.parameters.back().default_value)
                fail_expected("a default, as the parameter before has one");
            def.parameters.push_back(std::move(parameter));
            if (!is(")")) expect(",");
        }
        const int outer_loop_depth = std::exchange(loop_depth_, 0);
        ++function_depth_;
        def.body = block();
        --function_depth_, loop_depth_ = outer_loop_depth;
    }

    void simple_statement(Block& into) {
        auto node = std::make_unique<Statement>();
        node->location = current().location;
        if (accept("pass")) {
            node->kind = StatementKind::kPass;
        } else if (is("break") || is("continue")) {
            if (loop_depth_ == 0)
                throw ScriptError(current().location, "expected a loop around '" + current().text + "'");
            node->kind = current().text == "break" ? StatementKind::kBreak : StatementKind::kContinue,
            ++position_;
        } else if (accept("return")) {
            if (function_depth_ == 0)
                throw ScriptError(node->location, "expected a function around 'return'");
            node->kind = StatementKind::kReturn;
            if (current().kind != TokenKind::kNewLine && current().kind != TokenKind::kEnd)
                node->value = expression_list();
        } else if (accept("load")) {
            load_statement(*node);
        } else {
            node->value = expression_list();
            static constexpr std::array<std::string_view, 6> kAugmentedOperators = {
                "+=", "-=", "*=", "/=", "//=", "%="};
            if (accept("=")) {
                node->kind = StatementKind::kAssign, node->target = assignable(std::move(node->value));
                node->value = expression_list();
                if (is("=")) fail_expected("one assignment a line");
            } else if (current().kind == TokenKind::kOperator &&
                       std::ranges::find(kAugmentedOperators, current().text) != kAugmentedOperators.end()) {
                node->kind = StatementKind::kAugmentedAssign,
                node->text = current().text.substr(0, current().text.size() - 1), ++position_;
                node->target = assignable(std::move(node->value));
                if (node->target->kind == ExpressionKind::kTuple ||
                    node->target->kind == ExpressionKind::kList)
                    throw ScriptError(node->location, "expected one name before an augmented assignment");
                node->value = expression_list();
            } else {
                node->kind = StatementKind::kExpression;
            }
        }
        expect_line_end();
        into.push_back(std::move(node));
    }

    void load_statement(Statement& node) {
        node.kind = StatementKind::kLoad;
        if (function_depth_ > 0 || loop_depth_ > 0 || depth_ > 0)
            throw ScriptError(node.location, "expected 'load' outside of blocks");
        expect("(");
        if (current().kind != TokenKind::kString) fail_expected("the file's name, as a string");
        node.text = tokens_[position_++].text;
        while (accept(",") && !is(")")) {
            std::string local_name;
            if (current().kind == TokenKind::kName) local_name = tokens_[position_++].text, expect("=");
            if (current().kind != TokenKind::kString) fail_expected("a name to load, as a string");
            const std::string exported_name = tokens_[position_++].text;
            if (exported_name.starts_with("_"))
                throw ScriptError(node.location, "'" + exported_name + "' is private to its file");
            node.loads.emplace_back(local_name.empty() ? exported_name : local_name, exported_name);
        }
        expect(")");
        if (node.loads.empty()) throw ScriptError(node.location, "expected names to load");
    }

    ExpressionPtr assignable(ExpressionPtr target) const {
        const bool list = target->kind == ExpressionKind::kTuple || target->kind == ExpressionKind::kList;
        if (!list && target->kind != ExpressionKind::kName && target->kind != ExpressionKind::kIndex)
            throw ScriptError(target->location, "expected a name, an index or a list of them before '='");
        if (list)
            for (ExpressionPtr& part : target->operands) part = assignable(std::move(part));
        return target;
    }

    static ExpressionPtr make(ExpressionKind kind, const SourceLocation& location) {
        auto node = std::make_unique<Expression>();
        node->kind = kind, node->location = location;
        return node;
    }

    ExpressionPtr assignment_targets() {
        ExpressionPtr first = unary();
        if (is(",")) {
            ExpressionPtr tuple = make(ExpressionKind::kTuple, first->location);
            tuple->operands.push_back(std::move(first));
            while (accept(",") && !is("in")) tuple->operands.push_back(unary());
            first = std::move(tuple);
        }
        return assignable(std::move(first));
    }

    ExpressionPtr expression_list() {
        ExpressionPtr first = expression();
        if (!is(",")) return first;
        ExpressionPtr tuple = make(ExpressionKind::kTuple, first->location);
        tuple->operands.push_back(std::move(first));
        while (accept(",") && current().kind != TokenKind::kNewLine && !is("=") && !is(")"))
            tuple->operands.push_back(expression());
        return tuple;
    }

    ExpressionPtr expression() {
        const DepthGuard guard(*this);
        ExpressionPtr value = or_expression();
        if (!is("if")) return value;
        ExpressionPtr choice = make(ExpressionKind::kConditional, current().location);
        expect("if");
        choice->operands.push_back(or_expression());
        expect("else");
        choice->operands.push_back(std::move(value));
        choice->operands.push_back(expression());
        return choice;
    }

    ExpressionPtr or_expression() {
        ExpressionPtr left = and_expression();
        while (is("or"))
            left = binary(ExpressionKind::kOr, std::move(left), [this] { return and_expression(); });
        return left;
    }
    ExpressionPtr and_expression() {
        ExpressionPtr left = not_expression();
        while (is("and"))
            left = binary(ExpressionKind::kAnd, std::move(left), [this] { return not_expression(); });
        return left;
    }
    ExpressionPtr not_expression() {
        const DepthGuard guard(*this);
        if (!is("not")) return comparison();
        ExpressionPtr node = make(ExpressionKind::kUnary, current().location);
        node->text = "not", ++position_;
        node->operands.push_back(not_expression());
        return node;
    }
    ExpressionPtr comparison() {
        ExpressionPtr left = sum();
        const auto compares = [this] {
            static constexpr std::array<std::string_view, 7> kOperators = {"==", "!=", "<", ">",
                                                                           "<=", ">=", "in"};
            return std::ranges::any_of(kOperators, [this](auto op) { return is(op); }) ||
                   (is("not") && tokens_[position_ + 1].text == "in");
        };
        if (!compares()) return left;
        const bool negated = is("not");
        if (negated) ++position_;
        left = binary(ExpressionKind::kBinary, std::move(left), [this] { return sum(); });
        if (negated) left->text = "not in";
        if (compares()) fail_expected("'and' between comparisons");
        return left;
    }
    ExpressionPtr sum() {
        ExpressionPtr left = product();
        while (is("+") || is("-") || is("|"))
            left = binary(ExpressionKind::kBinary, std::move(left), [this] { return product(); });
        return left;
    }
    ExpressionPtr product() {
        ExpressionPtr left = unary();
        while (is("*") || is("/") || is("//") || is("%"))
            left = binary(ExpressionKind::kBinary, std::move(left), [this] { return unary(); });
        return left;
    }
    static void set_height(Expression& node, const Expression& operand) {
        node.height = operand.height + 1;
        if (node.height > kMaxHeight) throw ScriptError(node.location, "the chain of operators is too long");
    }
    template <class Right> ExpressionPtr binary(ExpressionKind kind, ExpressionPtr left, Right right) {
        ExpressionPtr node = make(kind, current().location);
        node->text = tokens_[position_++].text;
        set_height(*node, *left);
        node->operands.push_back(std::move(left));
        node->operands.push_back(right());
        return node;
    }
    ExpressionPtr unary() {
        const DepthGuard guard(*this);
        if (!is("-") && !is("+")) return postfix_expression();
        ExpressionPtr node = make(ExpressionKind::kUnary, current().location);
        node->text = tokens_[position_++].text;
        node->operands.push_back(unary());
        return node;
    }

    ExpressionPtr postfix_expression() {
        ExpressionPtr value = primary();
        for (;;) {
            const SourceLocation location = current().location;
            if (accept(".")) {
                ExpressionPtr node = make(ExpressionKind::kAttribute, location);
                node->text = expect_name("a name after '.'");
                set_height(*node, *value);
                node->operands.push_back(std::move(value));
                value = std::move(node);
            } else if (accept("(")) {
                value = call(std::move(value), location);
            } else if (accept("[")) {
                value = index(std::move(value), location);
            } else {
                return value;
            }
        }
    }

    ExpressionPtr call(ExpressionPtr callee, const SourceLocation& location) {
        ExpressionPtr node = make(ExpressionKind::kCall, location);
        set_height(*node, *callee);
        node->operands.push_back(std::move(callee));
        while (!accept(")")) {
            std::string argument_name;
            if (current().kind == TokenKind::kName && tokens_[position_ + 1].kind == TokenKind::kOperator &&
                tokens_[position_ + 1].text == "=") {
                argument_name = current().text, position_ += 2;
                if (std::ranges::count(node->argument_names, argument_name) > 0)
                    throw ScriptError(current().location, "argument '" + argument_name + "' is repeated");
            } else if (!node->argument_names.empty() && !node->argument_names.back().empty()) {
                fail_expected("a name for this argument, as the one before has one");
            }
            node->argument_names.push_back(argument_name);
            node->operands.push_back(expression());
            if (is("for")) fail_expected("brackets round a comprehension");
            if (!is(")")) expect(",");
        }
        return node;
    }

    ExpressionPtr index(ExpressionPtr value, const SourceLocation& location) {
        ExpressionPtr node = make(ExpressionKind::kIndex, location);
        set_height(*node, *value);
        node->operands.push_back(std::move(value));
        node->operands.push_back(is(":") ? nullptr : expression_list());
        if (is(":")) {
            node->kind = ExpressionKind::kSlice;
            for (int i = 0; i < 2 && accept(":"); ++i)
                node->operands.push_back(is(":") || is("]") ? nullptr : expression());
            node->operands.resize(4);
        }
        expect("]");
        return node;
    }

    std::vector<Clause> clauses(std::string_view end) {
        std::vector<Clause> result;
        while (!is(end)) {
            Clause clause;
            if (accept("for")) {
                clause.target = assignment_targets();
                expect("in");
                clause.source = or_expression();
            } else if (accept("if")) {
                clause.is_if = true, clause.source = or_expression();
            } else {
                fail_expected("'for', 'if' or '" + std::string(end) + "'");
            }
            result.push_back(std::move(clause));
        }
        return result;
    }

    ExpressionPtr primary() {
        const Token token = current();
        if (token.kind == TokenKind::kName) {
            ExpressionPtr node = make(ExpressionKind::kName, token.location);
            node->text = token.text, ++position_;
            return node;
        }
        if (token.kind == TokenKind::kString || token.kind == TokenKind::kInt ||
            token.kind == TokenKind::kFloat || is("None") || is("True") || is("False")) {
            ExpressionPtr node = constant(token);
            ++position_;
            if (token.kind == TokenKind::kString && current().kind == TokenKind::kString)
                fail_expected("'+' between strings");
            return node;
        }
        if (accept("(")) {
            if (accept(")")) return make(ExpressionKind::kTuple, token.location);
            ExpressionPtr value = expression_list();
            expect(")");
            return value;
        }
        if (accept("[")) {
            ExpressionPtr node = make(ExpressionKind::kList, token.location);
            if (accept("]")) return node;
            node->operands.push_back(expression());
            if (is("for")) {
                node->kind = ExpressionKind::kComprehension, node->clauses = clauses("]");
                expect("]");
                return node;
            }
            while (!accept("]")) {
                expect(",");
                if (!is("]")) node->operands.push_back(expression());
            }
            return node;
        }
        if (accept("{")) return dict(token.location);
        fail_expected("a value");
    }

    ExpressionPtr dict(const SourceLocation& location) {
        ExpressionPtr node = make(ExpressionKind::kDict, location);
        while (!accept("}")) {
            node->operands.push_back(expression());
            expect(":");
            node->operands.push_back(expression());
            if (node->operands.size() == 2 && is("for")) {
                node->kind = ExpressionKind::kDictComprehension, node->clauses = clauses("}");
                expect("}");
                return node;
            }
            if (!is("}")) expect(",");
        }
        return node;
    }

    static ExpressionPtr constant(const Token& token) {
        ExpressionPtr node = make(ExpressionKind::kConstant, token.location);
        if (token.kind == TokenKind::kString) {
            node->constant = token.text;
        } else if (token.kind == TokenKind::kFloat) {
            char* end = nullptr;
            node->constant = std::strtod(token.text.c_str(), &end);
            if (*end != '\0')
                throw ScriptError(token.location, "expected a number, got '" + token.text + "'");
        } else if (token.kind == TokenKind::kInt) {
            std::string_view digits = token.text;
            int base = 10;
            if (digits.size() > 2 && digits[0] == '0' && (digits[1] == 'x' || digits[1] == 'X')) base = 16;
            if (digits.size() > 2 && digits[0] == '0' && digits[1] == 'o') base = 8;
            if (base != 10) digits.remove_prefix(2);
            std::int64_t whole = 0;
            const auto [end, error] =
                std::from_chars(digits.data(), digits.data() + digits.size(), whole, base);
            if (error != std::errc{} || end != digits.data() + digits.size())
                throw ScriptError(token.location,
                                  "expected a whole number of 64 bits, got '" + token.text + "'");
            node->constant = whole;
        } else if (token.text == "None") {
            node->constant = None{};
        } else {
            node->constant = token.text == "True";
        }
        return node;
    }

    std::vector<Token> tokens_;
    std::size_t position_ = 0;
    int depth_ = 0, loop_depth_ = 0, function_depth_ = 0;
};

} // namespace

Block parse_script(const std::string& file, std::string_view text) { return Parser(file, text).script(); }

} // namespace ivyrill::script
