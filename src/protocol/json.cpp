#include "protocol/json.hpp"

#include "protocol/values.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::protocol {

namespace {

constexpr int kMaxDepth = 32;
constexpr std::size_t kMaxMembers = 256; // in one object

class Parser {
  public:
    explicit Parser(std::string_view text) : input_(text) {}

    Json document() {
        Json value = read(0);
        skip_blanks();
        if (position_ != input_.size()) fail("unexpected data after the value");
        return value;
    }

  private:
    [[noreturn]] void fail(const char* what) const {
        throw ProtocolError("JSON at byte " + std::to_string(position_) + ": " + what);
    }
    void skip_blanks() {
        while (position_ < input_.size() &&
               std::string_view(" \t\r\n").find(input_[position_]) != std::string_view::npos)
            ++position_;
    }
    char peek() const { return position_ < input_.size() ? input_[position_] : '\0'; }
    bool take(char wanted) {
        if (position_ >= input_.size() || input_[position_] != wanted) return false;
        return ++position_, true;
    }
    void expect(char wanted) {
        if (!take(wanted)) fail("unexpected character");
    }
    bool take_word(std::string_view word) {
        if (!input_.substr(position_).starts_with(word)) return false;
        return position_ += word.size(), true;
    }

    Json read(int depth) {
        if (depth > kMaxDepth) fail("nested too deeply");
        skip_blanks();
        Json value;
        if (take('{')) {
            value.type = Json::Type::kObject;
            for (bool first = true; skip_blanks(), !take('}'); first = false) {
                if (!first) expect(','), skip_blanks();
                std::string name = read_string();
                skip_blanks(), expect(':');
                if (value.members.size() == kMaxMembers || value.find(name) != nullptr)
                    fail("duplicate member name, or too many members");
                value.members.push_back({std::move(name), read(depth + 1)});
            }
        } else if (take('[')) {
            value.type = Json::Type::kList;
            for (bool first = true; skip_blanks(), !take(']'); first = false) {
                if (!first) expect(',');
                value.items.push_back(read(depth + 1));
            }
        } else if (peek() == '"') {
            value.type = Json::Type::kText, value.text = read_string();
        } else if (take_word("true")) {
            value.type = Json::Type::kBool, value.text = "true";
        } else if (take_word("false")) {
            value.type = Json::Type::kBool, value.text = "false";
        } else if (!take_word("null")) {
            value.type = Json::Type::kNumber, value.text = read_number();
        }
        return value;
    }

    void skip_digits() {
        const std::size_t begin = position_;
        while (peek() >= '0' && peek() <= '9') ++position_;
        if (position_ == begin) fail("expected a digit");
    }

    std::string read_number() {
        const std::size_t begin = position_;
        take('-');
        if (!take('0')) skip_digits();
        if (take('.')) skip_digits();
        if (take('e') || take('E')) {
            if (!take('+')) take('-');
            skip_digits();
        }
        return std::string(input_.substr(begin, position_ - begin));
    }

    unsigned hex4() {
        unsigned value = 0;
        for (int i = 0; i < 4; ++i) {
            const char digit = peek();
            const auto index = std::string_view("0123456789abcdefABCDEF").find(digit);
            if (digit == '\0' || index == std::string_view::npos) fail("not a hexadecimal digit");
            value = value * 16 + static_cast<unsigned>(index < 16 ? index : index - 6);
            ++position_;
        }
        return value;
    }

    void append_utf8(std::string& out, unsigned code_point) {
        const auto put = [&out](unsigned byte) { out.push_back(static_cast<char>(byte)); };
        if (code_point < 0x80) return put(code_point);
        if (code_point < 0x800) return put(0xC0 | code_point >> 6), put(0x80 | (code_point & 0x3F));
        if (code_point < 0x10000) {
            put(0xE0 | code_point >> 12);
        } else {
            put(0xF0 | code_point >> 18), put(0x80 | (code_point >> 12 & 0x3F));
        }
        put(0x80 | (code_point >> 6 & 0x3F)), put(0x80 | (code_point & 0x3F));
    }

    void read_escape(std::string& out) {
        const char character = peek();
        ++position_;
        if (const auto plain = std::string_view("\"\\/").find(character); plain != std::string_view::npos)
            return out.push_back(character);
        if (const auto index = std::string_view("bfnrt").find(character); index != std::string_view::npos)
            return out.push_back("\b\f\n\r\t"[index]);
        if (character != 'u') fail("unknown escape");
        unsigned code_point = hex4();
        if (code_point >= 0xDC00 && code_point < 0xE000) fail("unpaired surrogate");
        if (code_point >= 0xD800 && code_point < 0xDC00) {
            if (!take_word("\\u")) fail("unpaired surrogate");
            const unsigned low = hex4();
            if (low < 0xDC00 || low >= 0xE000) fail("unpaired surrogate");
            code_point = 0x10000 + ((code_point - 0xD800) << 10) + (low - 0xDC00);
        }
        append_utf8(out, code_point);
    }

    std::string read_string() {
        expect('"');
        std::string out;
        for (;;) {
            if (position_ >= input_.size()) fail("unterminated string");
            if (take('"')) return out;
            if (take('\\')) {
                read_escape(out);
                continue;
            }
            if (static_cast<unsigned char>(input_[position_]) < 0x20) fail("control character in a string");
            out.push_back(input_[position_++]);
        }
    }

    std::string_view input_;
    std::size_t position_ = 0;
};

void require(bool condition, std::string_view what, const char* type) {
    if (!condition) throw ProtocolError(std::string(what) + ": not " + type);
}

void flatten_into(PathValues& values, const std::string& path, const Json& value) {
    const std::string prefix = path.empty() ? "" : path + ".";
    if (value.type == Json::Type::kObject) {
        for (const auto& [name, member] : value.members) flatten_into(values, prefix + name, member);
    } else if (value.type == Json::Type::kList) {
        const auto nested = [](const Json& item) {
            return item.type == Json::Type::kObject || item.type == Json::Type::kList;
        };
        if (std::ranges::any_of(value.items, nested)) {
            values[prefix + "count"] = std::to_string(value.items.size());
            for (std::size_t i = 0; i < value.items.size(); ++i)
                flatten_into(values, prefix + std::to_string(i), value.items[i]);
            return;
        }
        std::string joined;
        for (const Json& item : value.items) joined += (joined.empty() ? "" : ",") + sanitize_name(item.text);
        values[path] = joined;
    } else if (value.type != Json::Type::kNull) {
        values[path] = sanitize_name(value.text);
    }
}

} // namespace

const Json* Json::find(std::string_view name) const {
    const auto found = std::ranges::find(members, name, &Member::name);
    return found == members.end() ? nullptr : &found->value;
}

const Json& Json::at(std::string_view name) const {
    const Json* found = find(name);
    if (found == nullptr) throw ProtocolError(std::string(name) + ": missing");
    return *found;
}

const std::string& Json::as_text(std::string_view what) const {
    require(type == Type::kText, what, "a string");
    return text;
}

std::int64_t Json::as_integer(std::string_view what) const {
    require(type == Type::kNumber, what, "a number");
    return to_integer(text, what);
}

double Json::as_number(std::string_view what) const {
    require(type == Type::kNumber, what, "a number");
    return to_number(text, what);
}

bool Json::as_bool(std::string_view what) const {
    require(type == Type::kBool, what, "true or false");
    return text == "true";
}

const std::vector<Json>& Json::as_list(std::string_view what) const {
    require(type == Type::kList, what, "a list");
    return items;
}

Json read_json(std::string_view text) { return Parser(text).document(); }

void write_json_text(std::string& out, std::string_view text) {
    constexpr std::string_view kHex = "0123456789abcdef";
    out.push_back('"');
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            out.push_back('\\'), out.push_back(character);
        } else if (code < 0x20) {
            out += "\\u00", out.push_back(kHex[code >> 4]), out.push_back(kHex[code & 15]);
        } else {
            out.push_back(character);
        }
    }
    out.push_back('"');
}

PathValues flatten(const Json& object) {
    PathValues values;
    flatten_into(values, "", object);
    return values;
}

} // namespace ivyrill::protocol
