#include "control/heartbeat_call.hpp"

#include "protocol/json.hpp"
#include "transport/address.hpp"

#include <optional>
#include <utility>

namespace ivyrill::control {

using model::Instance;
using model::InstanceState;

namespace {

std::string text_or(const protocol::Json& object, std::string_view name, std::string fallback) {
    const protocol::Json* found = object.find(name);
    return found == nullptr || found->type == protocol::Json::Type::kNull ? fallback : found->as_text(name);
}

std::optional<InstanceState> parse_state(const std::string& text) {
    if (text == "draining") return InstanceState::kDraining;
    if (text == "serving") return InstanceState::kServing;
    return std::nullopt;
}

} // namespace

Result<RegisterCall> read_register_call(const std::string& id, const std::string& json) {
    try {
        const protocol::Json body = protocol::read_json(json);
        Instance instance;
        instance.id = id;
        instance.service = body.at("service").as_text("service");
        instance.address = body.at("address").as_text("address");
        instance.zone = text_or(body, "zone", "");
        instance.software_version = text_or(body, "version", "");
        if (const auto* slots = body.find("slots")) instance.slots = slots->as_integer("slots");
        const auto state = parse_state(text_or(body, "state", "serving"));
        if (!state) return error(ErrorKind::kInvalidInput, "state: send serving or draining");
        instance.state = *state;
        instance.stage = model::stage_from_name(text_or(body, "stage", ""));
        if (const auto* models = body.find("models"))
            for (const protocol::Json& model : models->as_list("models")) {
                model::ServedModel served{model.at("name").as_text("name"), 0};
                if (const auto* version = model.find("version"))
                    served.version = version->as_integer("version");
                instance.models.push_back(std::move(served));
            }
        instance.revision = static_cast<std::uint64_t>(body.at("callSeq").as_integer("callSeq"));
        if (instance.revision >= model::kFinalRevision)
            return error(ErrorKind::kInvalidInput, "callSeq: too large; count from 0 at each start");
        if (instance.id.empty() || instance.service.empty() || instance.slots < 1)
            return error(ErrorKind::kInvalidInput,
                         "heartbeat: id or service is empty, or slots below 1; send the actual values");
        transport::read_address(instance.address);
        return RegisterCall{std::move(instance)};
    } catch (const std::exception& failure) {
        return error(ErrorKind::kInvalidInput,
                     std::string("heartbeat: ") + failure.what() + "; send the complete record");
    }
}

} // namespace ivyrill::control
