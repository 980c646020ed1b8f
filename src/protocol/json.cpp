#include "protocol/json.hpp"

#include "protocol/values.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::protocol {

namespace {

constexpr int kMostDepth = 32;
constexpr std::size_t kMostMembers = 256; // of one object

class Reader {
  public:
    explicit Reader(std::string_view text) : text_(text) {}

    Json document() {
        Json value = read(0);
        skip_blanks();
        if (at_ != text_.size()) fail("something follows the value");
        return value;
    }

  private:
    [[noreturn]] void fail(const char* what) const {
        throw ProtocolError("JSON at byte " + std::to_string(at_) + ": " + what);
    }
    void skip_blanks() {
        while (at_ < text_.size() && std::string_view(" \t\r\n").find(text_[at_]) != std::string_view::npos)
            ++at_;
    }
    char peek() const { return at_ < text_.size() ? text_[at_] : '\0'; }
    bool take(char wanted) {
        if (at_ >= text_.size() || text_[at_] != wanted) return false;
        return ++at_, true;
    }
    void expect(char wanted) {
        if (!take(wanted)) fail("a sign is missing");
    }
    bool take_word(std::string_view word) {
        if (!text_.substr(at_).starts_with(word)) return false;
        return at_ += word.size(), true;
    }

    Json read(int depth) {
        if (depth > kMostDepth) fail("too deep");
        skip_blanks();
        Json value;
        if (take('{')) {
            value.sort = Json::Sort::kObject;
            for (bool first = true; skip_blanks(), !take('}'); first = false) {
                if (!first) expect(','), skip_blanks();
                std::string name = read_text();
                skip_blanks(), expect(':');
                if (value.members.size() == kMostMembers || value.find(name) != nullptr)
                    fail("a name stands twice, or too many names");
                value.members.push_back({std::move(name), read(depth + 1)});
            }
        } else if (take('[')) {
            value.sort = Json::Sort::kList;
            for (bool first = true; skip_blanks(), !take(']'); first = false) {
                if (!first) expect(',');
                value.items.push_back(read(depth + 1));
            }
        } else if (peek() == '"') {
            value.sort = Json::Sort::kText, value.text = read_text();
        } else if (take_word("true")) {
            value.sort = Json::Sort::kBool, value.text = "true";
        } else if (take_word("false")) {
            value.sort = Json::Sort::kBool, value.text = "false";
        } else if (!take_word("null")) {
            value.sort = Json::Sort::kNumber, value.text = read_number();
        }
        return value;
    }

    void digits() {
        const std::size_t begin = at_;
        while (peek() >= '0' && peek() <= '9') ++at_;
        if (at_ == begin) fail("a digit is missing");
    }

    std::string read_number() {
        const std::size_t begin = at_;
        take('-');
        if (!take('0')) digits();
        if (take('.')) digits();
        if (take('e') || take('E')) {
            if (!take('+')) take('-');
            digits();
        }
        return std::string(text_.substr(begin, at_ - begin));
    }

    unsigned hex4() {
        unsigned value = 0;
        for (int i = 0; i < 4; ++i) {
            const char digit = peek();
            const auto place = std::string_view("0123456789abcdefABCDEF").find(digit);
            if (digit == '\0' || place == std::string_view::npos) fail("not a hexadecimal digit");
            value = value * 16 + static_cast<unsigned>(place < 16 ? place : place - 6);
            ++at_;
        }
        return value;
    }

    void put_rune(std::string& out, unsigned rune) {
        const auto put = [&out](unsigned byte) { out.push_back(static_cast<char>(byte)); };
        if (rune < 0x80) return put(rune);
        if (rune < 0x800) return put(0xC0 | rune >> 6), put(0x80 | (rune & 0x3F));
        if (rune < 0x10000) {
            put(0xE0 | rune >> 12);
        } else {
            put(0xF0 | rune >> 18), put(0x80 | (rune >> 12 & 0x3F));
        }
        put(0x80 | (rune >> 6 & 0x3F)), put(0x80 | (rune & 0x3F));
    }

    void read_escape(std::string& out) {
        const char sign = peek();
        ++at_;
        if (const auto plain = std::string_view("\"\\/").find(sign); plain != std::string_view::npos)
            return out.push_back(sign);
        if (const auto place = std::string_view("bfnrt").find(sign); place != std::string_view::npos)
            return out.push_back("\b\f\n\r\t"[place]);
        if (sign != 'u') fail("unknown escape");
        unsigned rune = hex4();
        if (rune >= 0xDC00 && rune < 0xE000) fail("half a surrogate pair");
        if (rune >= 0xD800 && rune < 0xDC00) {
            if (!take_word("\\u")) fail("half a surrogate pair");
            const unsigned low = hex4();
            if (low < 0xDC00 || low >= 0xE000) fail("half a surrogate pair");
            rune = 0x10000 + ((rune - 0xD800) << 10) + (low - 0xDC00);
        }
        put_rune(out, rune);
    }

    std::string read_text() {
        expect('"');
        std::string out;
        for (;;) {
            if (at_ >= text_.size()) fail("a text has no end");
            if (take('"')) return out;
            if (take('\\')) {
                read_escape(out);
                continue;
            }
            if (static_cast<unsigned char>(text_[at_]) < 0x20) fail("a control character in a text");
            out.push_back(text_[at_++]);
        }
    }

    std::string_view text_;
    std::size_t at_ = 0;
};

void must(bool holds, std::string_view what, const char* sort) {
    if (!holds) throw ProtocolError(std::string(what) + ": not " + sort);
}

void flatten_into(PathValues& values, const std::string& path, const Json& value) {
    const std::string below = path.empty() ? "" : path + ".";
    if (value.sort == Json::Sort::kObject) {
        for (const auto& [name, member] : value.members) flatten_into(values, below + name, member);
    } else if (value.sort == Json::Sort::kList) {
        const auto nested = [](const Json& item) {
            return item.sort == Json::Sort::kObject || item.sort == Json::Sort::kList;
        };
        if (std::ranges::any_of(value.items, nested)) {
            values[below + "count"] = std::to_string(value.items.size());
            for (std::size_t i = 0; i < value.items.size(); ++i)
                flatten_into(values, below + std::to_string(i), value.items[i]);
            return;
        }
        std::string joined;
        for (const Json& item : value.items) joined += (joined.empty() ? "" : ",") + sanitize_name(item.text);
        values[path] = joined;
    } else if (value.sort != Json::Sort::kNull) {
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
    must(sort == Sort::kText, what, "a text");
    return text;
}

std::int64_t Json::as_integer(std::string_view what) const {
    must(sort == Sort::kNumber, what, "a number");
    return to_integer(text, what);
}

double Json::as_number(std::string_view what) const {
    must(sort == Sort::kNumber, what, "a number");
    return to_number(text, what);
}

bool Json::as_bool(std::string_view what) const {
    must(sort == Sort::kBool, what, "true or false");
    return text == "true";
}

const std::vector<Json>& Json::as_list(std::string_view what) const {
    must(sort == Sort::kList, what, "a list");
    return items;
}

Json read_json(std::string_view text) { return Reader(text).document(); }

void write_json_text(std::string& out, std::string_view text) {
    constexpr std::string_view kHex = "0123456789abcdef";
    out.push_back('"');
    for (const char letter : text) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            out.push_back('\\'), out.push_back(letter);
        } else if (code < 0x20) {
            out += "\\u00", out.push_back(kHex[code >> 4]), out.push_back(kHex[code & 15]);
        } else {
            out.push_back(letter);
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
