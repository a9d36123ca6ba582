// Lifetime and streams of a connection. Reading, writing and the peer timeout are in node_session_io.cpp.
#include <dandelionstall/transport/node_session.h>

#include <boost/asio.hpp>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>
#include <vector>

namespace dandelionstall::transport {

namespace {

nghttp2_nv makeField(std::string_view name, std::string_view value)
{
    nghttp2_nv field{};
    field.name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
    field.namelen = name.size();
    field.value = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    field.valuelen = value.size();
    field.flags = NGHTTP2_NV_FLAG_NONE;
    return field;
}

} // namespace

// [SECTION] nghttp2 callbacks

struct node_session::callbacks {
    static ssize_t
    read(nghttp2_session *, std::int32_t stream, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags, nghttp2_data_source *, void *userData)
    {
        return static_cast<node_session *>(userData)->fillDataFrame(stream, buffer, length, flags);
    }

    static int onHeader(nghttp2_session *,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameLength,
                        const std::uint8_t *value,
                        std::size_t valueLength,
                        std::uint8_t,
                        void *userData)
    {
        auto *self = static_cast<node_session *>(userData);
        const std::string_view key(reinterpret_cast<const char *>(name), nameLength);
        if (self->m_role == session_role::server && key == ":path") {
            self->m_paths[frame->hd.stream_id] = std::string(reinterpret_cast<const char *>(value), valueLength);
        }
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        auto *self = static_cast<node_session *>(userData);
        const stream_id stream = frame->hd.stream_id;
        const bool request = frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
        if (request && self->m_role == session_role::server) {
            acceptStream(*self, stream);
        }
        const bool carriesEnd = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (carriesEnd && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            const auto found = self->m_streams.find(stream);
            if (found != self->m_streams.end()) {
                const std::shared_ptr<stream_handler> handler = found->second.handler;
                handler->onPeerEnd();
            }
        }
        return 0;
    }

    static void acceptStream(node_session &self, stream_id stream)
    {
        const auto path = self.m_paths.find(stream);
        std::shared_ptr<stream_handler> handler;
        if (path != self.m_paths.end() && !self.m_draining) {
            handler = self.m_acceptor(self.shared_from_this(), stream, path->second);
        }
        self.m_paths.erase(stream);
        if (!handler) {
            nghttp2_submit_rst_stream(self.m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_REFUSED_STREAM);
            return;
        }
        self.m_streams[stream].handler = std::move(handler);
    }

    static int onData(nghttp2_session *, std::uint8_t, std::int32_t stream, const std::uint8_t *data, std::size_t length, void *userData)
    {
        auto *self = static_cast<node_session *>(userData);
        nghttp2_session_consume_connection(self->m_session, length); // at once: streams may end with bytes that nobody processes
        const auto found = self->m_streams.find(stream);
        if (found == self->m_streams.end()) {
            return 0;
        }
        const std::shared_ptr<stream_handler> handler = found->second.handler;
        handler->onData({reinterpret_cast<const char *>(data), length});
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t stream, std::uint32_t code, void *userData)
    {
        auto *self = static_cast<node_session *>(userData);
        self->m_paths.erase(stream);
        stream_close_reason reason = stream_close_reason::reset;
        if (code == NGHTTP2_NO_ERROR) {
            reason = stream_close_reason::finished;
        } else if (code == NGHTTP2_REFUSED_STREAM) {
            reason = stream_close_reason::refused;
        }
        self->finishStream(stream, reason);
        return 0;
    }
};

// [SECTION] Lifetime

std::shared_ptr<node_session> node_session::create(boost::asio::ip::tcp::socket socket, session_role role, const session_options &options)
{
    std::shared_ptr<node_session> session(new node_session(std::move(socket), role, options));
    session->initialize();
    return session;
}

node_session::node_session(boost::asio::ip::tcp::socket socket, session_role role, const session_options &options)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_role(role)
    , m_options(options)
    , m_lastReceivedAt(state::clock::now())
    , m_idleSince(m_lastReceivedAt)
{ }

node_session::~node_session()
{
    nghttp2_session_del(m_session);
}

void node_session::initialize()
{
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);

    nghttp2_session_callbacks *sessionCallbacks = nullptr;
    nghttp2_session_callbacks_new(&sessionCallbacks);
    nghttp2_session_callbacks_set_on_header_callback(sessionCallbacks, callbacks::onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(sessionCallbacks, callbacks::onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(sessionCallbacks, callbacks::onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(sessionCallbacks, callbacks::onStreamClose);
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    if (m_role == session_role::client) {
        nghttp2_session_client_new2(&m_session, sessionCallbacks, this, option);
    } else {
        nghttp2_session_server_new2(&m_session, sessionCallbacks, this, option);
    }
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(sessionCallbacks);

    const std::array<nghttp2_settings_entry, 2> entries{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_options.maxStreams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(m_options.streamWindow)},
    };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, m_options.connectionWindow);
}

void node_session::start(stream_acceptor acceptor)
{
    assert((m_role == session_role::client || acceptor) && "a server session needs an acceptor");
    m_acceptor = std::move(acceptor);
    readMore();
    flush();
    armTimeoutCheck();
}

void node_session::drain()
{
    m_draining = true;
    if (m_open) {
        nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(m_session), NGHTTP2_NO_ERROR, nullptr, 0);
        flush();
    }
}

void node_session::close(stream_close_reason reason)
{
    if (!m_open) {
        return;
    }
    m_open = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    std::unordered_map<stream_id, stream_state> streams;
    streams.swap(m_streams);
    for (auto &[id, stream] : streams) {
        stream.handler->onClosed(reason);
    }
}

// [SECTION] Streams

stream_id node_session::open(std::string_view path, std::shared_ptr<stream_handler> handler)
{
    assert(m_role == session_role::client && "only the client side opens streams");
    if (!m_open || nghttp2_session_check_request_allowed(m_session) == 0) {
        return -1;
    }
    const std::array<nghttp2_nv, 4> fields{
        makeField(":method", "POST"), makeField(":scheme", "http"), makeField(":authority", "node"), makeField(":path", path)};
    if (m_streams.empty()) {
        m_lastReceivedAt = state::clock::now(); // the timeout starts now: the peer sends nothing on an idle connection
    }
    nghttp2_data_provider provider{};
    provider.read_callback = callbacks::read;
    const stream_id stream = nghttp2_submit_request(m_session, nullptr, fields.data(), fields.size(), &provider, nullptr);
    if (stream < 0) {
        return -1;
    }
    stream_state &entry = m_streams[stream];
    entry.handler = std::move(handler);
    entry.submitted = true;
    flush();
    armTimeoutCheck();
    return stream;
}

void node_session::write(stream_id stream, std::string_view bytes, bool end)
{
    const auto found = m_streams.find(stream);
    if (!m_open || found == m_streams.end()) {
        return;
    }
    stream_state &entry = found->second;
    if (!bytes.empty()) {
        entry.out.emplace_back(bytes);
        entry.outBytes += bytes.size();
    }
    entry.outEnd = entry.outEnd || end;
    if (!entry.submitted) {
        entry.submitted = true;
        const std::array<nghttp2_nv, 1> fields{makeField(":status", "200")};
        nghttp2_data_provider provider{};
        provider.read_callback = callbacks::read;
        nghttp2_submit_response(m_session, stream, fields.data(), fields.size(), &provider);
    } else if (entry.deferred) {
        entry.deferred = false;
        nghttp2_session_resume_data(m_session, stream);
    }
    flush();
}

std::ptrdiff_t node_session::fillDataFrame(stream_id stream, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    stream_state &entry = found->second;
    std::size_t copied = 0;
    while (copied < length && !entry.out.empty()) {
        const std::string &front = entry.out.front();
        const std::size_t part = std::min(length - copied, front.size() - entry.outOffset);
        std::copy_n(front.data() + entry.outOffset, part, buffer + copied);
        copied += part;
        entry.outOffset += part;
        if (entry.outOffset == front.size()) {
            entry.out.pop_front();
            entry.outOffset = 0;
        }
    }
    entry.outBytes -= copied;
    if (entry.out.empty() && entry.outEnd) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (copied == 0) {
        entry.deferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<std::ptrdiff_t>(copied);
}

void node_session::consume(stream_id stream, std::size_t bytes)
{
    if (m_open && bytes > 0) {
        nghttp2_session_consume_stream(m_session, stream, bytes);
        flush();
    }
}

void node_session::reset(stream_id stream)
{
    if (m_open && m_streams.contains(stream)) {
        nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
        flush();
    }
}

void node_session::finishStream(stream_id stream, stream_close_reason reason)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return;
    }
    const std::shared_ptr<stream_handler> handler = std::move(found->second.handler);
    m_streams.erase(found);
    m_idleSince = state::clock::now();
    handler->onClosed(reason);
}

// [SECTION] Queries

std::size_t node_session::pendingBytes(stream_id stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? 0 : found->second.outBytes;
}

std::size_t node_session::openStreamCount() const
{
    return m_streams.size();
}

bool node_session::isOpen() const
{
    return m_open;
}

state::time_point node_session::lastReceivedAt() const
{
    return m_lastReceivedAt;
}

state::time_point node_session::idleSince() const
{
    return m_streams.empty() ? m_idleSince : state::clock::now();
}

} // namespace dandelionstall::transport
