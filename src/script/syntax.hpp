// The script's words and its tree. Pure: text in, tree out, or a ScriptError that names the place and what
// was expected there.
#pragma once
#include "script/value.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::script {

enum class Word { kName, kKeyword, kInt, kFloat, kText, kSign, kNewLine, kIndent, kDedent, kEnd };
struct Token {
    Word word = Word::kEnd;
    std::string text; // of a text literal: its value
    Place place;
};
std::vector<Token> read_words(const std::string& file, std::string_view text);

struct Expression;
using ExpressionPtr = std::unique_ptr<Expression>;
struct Clause { // of a comprehension: `for names in source`, or `if source`
    bool is_if = false;
    ExpressionPtr target, source;
};
enum class Form {
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
    kChoice,
    kCall,
    kIndex,
    kSlice,
    kAttribute,
};
struct Expression {
    Form form = Form::kConstant;
    Place place;
    int height = 1;   // of the tree below: it is walked by recursion
    std::string text; // a name, a sign, or a text constant
    std::variant<None, bool, std::int64_t, double, std::string> constant;
    std::vector<ExpressionPtr> parts; // operands; null where a slice leaves one out
    std::vector<std::string> names;   // of a call's arguments, beside parts[1...]; empty: by place
    std::vector<Clause> clauses;
};

struct Statement;
using Block = std::vector<std::unique_ptr<Statement>>;
struct Parameter {
    std::string name;
    ExpressionPtr otherwise; // null: must be given
};
struct Def {
    std::string name;
    std::vector<Parameter> parameters;
    Block body;
};
enum class Act { kExpression, kAssign, kAugment, kDef, kReturn, kIf, kFor, kBreak, kContinue, kPass, kLoad };
struct Statement {
    Act act = Act::kPass;
    Place place;
    std::string text;            // an augmenting sign, or the file to load from
    ExpressionPtr target, value; // of a `for` the latter is what it goes over
    Block body, otherwise;
    std::unique_ptr<Def> def;
    std::vector<std::pair<std::string, std::string>> loads; // the name here, the name there
};
Block read_script(const std::string& file, std::string_view text);

} // namespace ivyrill::script
