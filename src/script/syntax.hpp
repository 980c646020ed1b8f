// Tokens and syntax tree of the script. The lexer and the parser perform no I/O; they throw a ScriptError
// with the location and what was expected there.
#pragma once
#include "script/value.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::script {

enum class TokenKind { kName, kKeyword, kInt, kFloat, kString, kOperator, kNewLine, kIndent, kDedent, kEnd };
struct Token {
    TokenKind kind = TokenKind::kEnd;
    std::string text; // of a string literal: its value
    SourceLocation location;
};
std::vector<Token> tokenize(const std::string& file, std::string_view text);

struct Expression;
using ExpressionPtr = std::unique_ptr<Expression>;
struct Clause { // of a comprehension: `for names in source`, or `if source`
    bool is_if = false;
    ExpressionPtr target, source;
};
enum class ExpressionKind {
    kName,
    kConstant,
    kList,
    kTuple,
    kDict,
    kComprehension,
    kDictComprehension,
    kUnary,
    kBinary,
    kAnd,
    kOr,
    kConditional,
    kCall,
    kIndex,
    kSlice,
    kAttribute,
};
struct Expression {
    ExpressionKind kind = ExpressionKind::kConstant;
    SourceLocation location;
    int height = 1;   // of the subtree; limited, since evaluation is recursive
    std::string text; // a name or an operator
    std::variant<None, bool, std::int64_t, double, std::string> constant;
    std::vector<ExpressionPtr> operands; // null for the omitted parts of a slice
    std::vector<std::string>
        argument_names; // of a call's arguments operands[1...]; empty for positional ones
    std::vector<Clause> clauses;
};

struct Statement;
using Block = std::vector<std::unique_ptr<Statement>>;
struct Parameter {
    std::string name;
    ExpressionPtr default_value; // null: the parameter is required
};
struct Def {
    std::string name;
    std::vector<Parameter> parameters;
    Block body;
};
enum class StatementKind {
    kExpression,
    kAssign,
    kAugmentedAssign,
    kDef,
    kReturn,
    kIf,
    kFor,
    kBreak,
    kContinue,
    kPass,
    kLoad
};
struct Statement {
    StatementKind kind = StatementKind::kPass;
    SourceLocation location;
    std::string text;            // the operator of an augmented assignment, or the file to load
    ExpressionPtr target, value; // in a `for`, `value` is the iterable
    Block body, else_block;
    std::unique_ptr<Def> def;
    std::vector<std::pair<std::string, std::string>> loads; // the local name, the name in the loaded file
};
Block parse_script(const std::string& file, std::string_view text);

} // namespace ivyrill::script
