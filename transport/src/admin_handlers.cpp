#include <dandelionstall/transport/admin_server.h>

#include <dandelionstall/state/text.h>

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace dandelionstall::transport {

namespace {

constexpr std::uint32_t StatusOk = 200;
constexpr std::uint32_t StatusNotFound = 404;
constexpr std::uint32_t StatusUnavailable = 503;

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::optional<std::string> decodePercent(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); i++) {
        if (text[i] != '%') {
            decoded += text[i] == '+' ? ' ' : text[i];
            continue;
        }
        if (i + 2 >= text.size()) {
            return std::nullopt;
        }
        const int high = hexDigit(text[i + 1]);
        const int low = hexDigit(text[i + 2]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        decoded += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return decoded;
}

bool parseParameters(std::string_view query, admin_request &request)
{
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        const auto name = decodePercent(pair.substr(0, equals));
        const auto value = decodePercent(equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1));
        if (!name || !value) {
            return false;
        }
        request.parameters[*name] = *value;
    }
    return true;
}

bool matches(const admin_handler &handler, std::string_view path)
{
    const bool isPrefix = handler.path.ends_with('/');
    return isPrefix ? path.starts_with(handler.path) && path.size() > handler.path.size() : path == handler.path;
}

std::string parameterOr(const admin_request &request, std::string_view name, const std::string &fallback)
{
    const auto found = request.parameters.find(name);
    return found == request.parameters.end() ? fallback : found->second;
}

using shared_providers = std::shared_ptr<const admin_providers>;

// Returns the current snapshot, or an empty one before the first snapshot is published.
coordination::fleet_snapshot_ptr snapshotOf(const shared_providers &source)
{
    coordination::fleet_snapshot_ptr snapshot = source->snapshot();
    return snapshot ? snapshot : std::make_shared<const coordination::fleet_snapshot>();
}

admin_answer answerReady(const shared_providers &source)
{
    const protocol::readiness value = protocol::readinessOf(*snapshotOf(source));
    return jsonAnswer(protocol::readyJson(value), value.ready ? StatusOk : StatusUnavailable);
}

admin_answer answerPool(const shared_providers &source, const admin_request &request)
{
    const auto body = protocol::poolJson(*snapshotOf(source), request.pathSuffix, source->now());
    return body.ok() ? jsonAnswer(*body) : adminError(StatusNotFound, state::messageOf(body.status()));
}

admin_answer answerExplain(const shared_providers &source, const admin_request &request)
{
    const protocol::explain_query query{
        parameterOr(request, "host", ""),
        parameterOr(request, "path", "/"),
        parameterOr(request, "method", "GET"),
    };
    return jsonAnswer(protocol::explainJson(*snapshotOf(source), query, source->now()));
}

void addSnapshotHandlers(const shared_providers &source, std::vector<admin_handler> &handlers)
{
    handlers.push_back({"/v1/ready", [source](const admin_request &) {
                            return answerReady(source);
                        }});
    handlers.push_back({"/v1/tables", [source](const admin_request &) {
                            return jsonAnswer(protocol::tablesJson(*snapshotOf(source)));
                        }});
    handlers.push_back({"/v1/pools", [source](const admin_request &) {
                            return jsonAnswer(protocol::poolsJson(*snapshotOf(source)));
                        }});
    handlers.push_back({"/v1/pools/", [source](const admin_request &request) {
                            return answerPool(source, request);
                        }});
    handlers.push_back({"/v1/explain", [source](const admin_request &request) {
                            return answerExplain(source, request);
                        }});
}

} // namespace

std::optional<admin_request> parseAdminTarget(std::string_view target)
{
    const std::size_t question = target.find('?');
    admin_request request;
    const auto path = decodePercent(target.substr(0, question));
    if (!path || !path->starts_with('/')) {
        return std::nullopt;
    }
    request.path = *path;
    if (question != std::string_view::npos && !parseParameters(target.substr(question + 1), request)) {
        return std::nullopt;
    }
    return request;
}

admin_answer dispatchAdminRequest(const std::vector<admin_handler> &handlers, const admin_request &request)
{
    for (const admin_handler &handler : handlers) {
        if (matches(handler, request.path)) {
            admin_request matched = request;
            matched.pathSuffix = request.path.substr(handler.path.size());
            return handler.handle(matched);
        }
    }
    return adminError(StatusNotFound, fmt::format("no such path: {}", request.path));
}

admin_answer jsonAnswer(const boost::json::object &body, std::uint32_t status)
{
    return {status, "application/json", boost::json::serialize(body) + "\n"};
}

admin_answer adminError(std::uint32_t status, std::string_view reason)
{
    return jsonAnswer({{"error", reason}}, status);
}

std::vector<admin_handler> makeAdminHandlers(admin_providers providers)
{
    const auto source = std::make_shared<const admin_providers>(std::move(providers));
    std::vector<admin_handler> handlers;
    if (source->identity && source->now) {
        handlers.push_back({"/v1/health", [source](const admin_request &) {
                                return jsonAnswer(protocol::healthJson(source->identity(), source->now()));
                            }});
    }
    if (source->snapshot && source->now) {
        addSnapshotHandlers(source, handlers);
    }
    if (source->settings) {
        handlers.push_back({"/v1/settings", [source](const admin_request &) {
                                return jsonAnswer(protocol::settingsJson(source->settings()));
                            }});
    }
    if (source->fleet) {
        handlers.push_back({"/v1/members", [source](const admin_request &) {
                                return jsonAnswer(protocol::membersJson(source->fleet()));
                            }});
        handlers.push_back({"/v1/config", [source](const admin_request &) {
                                return jsonAnswer(protocol::configJson(source->fleet()));
                            }});
    }
    if (source->metrics) {
        handlers.push_back({"/metrics", [source](const admin_request &) {
                                return admin_answer{StatusOk, "text/plain; version=0.0.4", source->metrics()};
                            }});
    }
    return handlers;
}

} // namespace dandelionstall::transport
