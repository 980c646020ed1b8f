// What happens to a front node, and what it asks for in return. Handles are serial numbers that are never
// used again: news about something that has ended finds nothing.
#pragma once
#include "access/gate.hpp"
#include "base/ids.hpp"
#include "protocol/frames.hpp"
#include "protocol/messages.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace ivyrill::routing {

using ClientId = Id<struct ClientTag, std::uint64_t>;         // a client's connection
using ConnectionId = Id<struct ConnectionTag, std::uint64_t>; // a connection to an index server
using StreamNo = std::uint32_t; // of a search on its client's connection, 0 where there is one at a time
using DiscoveryCallId = Id<struct DiscoveryCallTag, std::uint64_t>; // a call to discovery

struct ClientOpened {
    ClientId client;
    bool guarded = true; // its listener asks for a credential, where access is on
    bool sealed = false; // it must shake hands first
};
struct HandshakeReady { // its bytes have come, its handshake can go on
    ClientId client;
};
struct HandshakeCompleted { // its handshake is done; the chain that it showed, or null
    ClientId client;
    std::shared_ptr<const access::Chain> chain;
};
struct SearchReceived {
    ClientId client;
    protocol::SearchRequest request;
    Tenths age = 0; // it reached this machine so long ago
    StreamNo stream = 0;
};
struct SearchCancelled { // its client has taken it back, and keeps its connection
    ClientId client;
    StreamNo stream = 0;
};
struct RequestStarted { // a request has begun and is not whole
    ClientId client;
};
struct OtherRequestAnswered { // it asked for something else than a search, and has its answer
    ClientId client;
};
struct ClientFinalAnswerSent { // its last answer is with the system; what it still sends is not read
    ClientId client;
};
struct ClientDisconnected {
    ClientId client;
};
struct ConnectionEstablished {
    ConnectionId connection;
};
struct ConnectionBytesWritten { // so many of its bytes has the system taken
    ConnectionId connection;
    std::uint64_t total = 0;
};
struct ConnectionClosed { // refused, broken or closed by the other side
    ConnectionId connection;
};
struct FrameStarted { // a frame has begun and is not whole
    ConnectionId connection;
};
struct MalformedDataReceived { // what came cannot be read; the answer names this part, or none
    ConnectionId connection;
    std::string part;
};
struct PartAnswered {
    ConnectionId connection;
    protocol::PartAnswer answer;
    Tenths age = 0;
};
struct LoadReceived {
    ConnectionId connection;
    protocol::LoadAnswer answer;
};
struct ServerListReceived {
    DiscoveryCallId ask;
    protocol::ServerList list;
};
struct ServerListFailed {
    DiscoveryCallId ask;
};
struct DiscoveryConnected { // its connection has come up
    DiscoveryCallId ask;
};
struct DiscoveryAddressChanged { // the configuration was read again
    std::string address;
};
struct PolicyLoaded { // access was read again, whole and checked
    std::shared_ptr<const access::Policy> policy;
};
struct WallClockRead { // what the system's clock says now
    Tenths wall = 0;
};
struct FrontNodesCounted { // front nodes that are there, ourselves among them
    std::size_t present = 1;
};
struct DrainStarted {};   // answers go out with the last word on their connection
struct TrafficStopped {}; // no request can be on its way any more: idle connections may go
using Event =
    std::variant<ClientOpened, HandshakeReady, HandshakeCompleted, PolicyLoaded, WallClockRead,
                 SearchReceived, SearchCancelled, RequestStarted, OtherRequestAnswered, ClientFinalAnswerSent,
                 ClientDisconnected, DiscoveryConnected, ConnectionEstablished, ConnectionBytesWritten,
                 ConnectionClosed, FrameStarted, MalformedDataReceived, PartAnswered, LoadReceived,
                 ServerListReceived, ServerListFailed, DiscoveryAddressChanged, FrontNodesCounted,
                 DrainStarted, TrafficStopped>;

struct OpenConnection {
    ConnectionId connection;
    std::string address;
};
struct WriteConnection {
    ConnectionId connection;
    std::string bytes;
};
struct CloseConnection {
    ConnectionId connection;
};
struct AnswerClient {
    ClientId client;
    protocol::FinalAnswer answer;
    bool close = false;
    StreamNo stream = 0;
};
struct RejectClient { // an error in the request itself, or a search we know already
    ClientId client;
    int status = 400;
    std::string why;
    bool close = false;
    std::string_view challenge = {}; // of a credential that is not good: text that stands for ever
    StreamNo stream = 0;             // 0 also where the connection itself is meant
};
struct ContinueHandshake { // one step of its handshake
    ClientId client;
};
struct Audit { // for the audit log; nothing secret is in it
    access::Reason reason = access::Reason::kNoCredential;
    std::string_view what;         // `refused`, `barred`, `distrusted`, `swapped`, `kept`
    std::string club, member, key; // the first two only where they are proven
    std::string request_class, search;
};
struct DrainClient { // it should go elsewhere, where its protocol can say so
    ClientId client;
};
struct CloseClient {
    ClientId client;
};
// Nothing more is said to it; what it has sent already is heard first, what comes later is read and dropped
// until it closes.
struct HalfCloseClient {
    ClientId client;
};
struct AcceptClients {
    bool on = true;
};
struct QueryDiscovery {
    DiscoveryCallId ask;
    std::string address;
    std::int64_t after = 0, wait_ms = 0;
    bool whole = false;
};
struct CancelDiscoveryCall { // the call that is out, if any, and the connection to discovery
    std::string why;
};
struct ArmTimer {
    Tenths at = 0;
};
using Effect = std::variant<OpenConnection, WriteConnection, CloseConnection, AnswerClient, RejectClient,
                            ContinueHandshake, Audit, DrainClient, CloseClient, HalfCloseClient,
                            AcceptClients, QueryDiscovery, CancelDiscoveryCall, ArmTimer>;

} // namespace ivyrill::routing
