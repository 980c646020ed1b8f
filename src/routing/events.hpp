// Events of a front node, and the effects it asks for in return. Handles are serial numbers that are never
// reused, so an event about something that has ended is ignored.
#pragma once
#include "access/authorizer.hpp"
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
using StreamId = std::uint32_t; // of a search on its client's connection; 0 for protocols without streams
using DiscoveryCallId = Id<struct DiscoveryCallTag, std::uint64_t>;

struct ClientOpened {
    ClientId client;
    bool requires_credential = true; // by its listener, if access control is on
    bool tls = false;                // a handshake comes first
};
struct HandshakeReady { // bytes have arrived, its handshake can continue
    ClientId client;
};
struct HandshakeCompleted { // `chain`: the client's certificate chain, or null
    ClientId client;
    std::shared_ptr<const access::Chain> chain;
};
struct SearchReceived {
    ClientId client;
    protocol::SearchRequest request;
    Ticks age = 0; // time since it reached this machine
    StreamId stream = 0;
};
struct SearchCancelled { // by its client, which keeps its connection
    ClientId client;
    StreamId stream = 0;
};
struct RequestStarted { // the first bytes of a request; it is not complete
    ClientId client;
};
struct OtherRequestAnswered { // a request other than a search has been answered
    ClientId client;
};
struct ClientFinalAnswerSent { // the system has its last answer; further input is discarded
    ClientId client;
};
struct ClientDisconnected {
    ClientId client;
};
struct ConnectionEstablished {
    ConnectionId connection;
};
struct ConnectionBytesWritten { // total bytes that the system has taken
    ConnectionId connection;
    std::uint64_t total = 0;
};
struct ConnectionClosed { // refused, lost or closed by the peer
    ConnectionId connection;
};
struct FrameStarted { // the first bytes of a frame; it is not complete
    ConnectionId connection;
};
struct MalformedDataReceived { // `part`: the part it names, or empty
    ConnectionId connection;
    std::string part;
};
struct PartAnswered {
    ConnectionId connection;
    protocol::PartResponse answer;
    Ticks age = 0;
};
struct LoadReceived {
    ConnectionId connection;
    protocol::LoadResponse answer;
};
struct ServerListReceived {
    DiscoveryCallId call;
    protocol::ServerList list;
};
struct ServerListFailed {
    DiscoveryCallId call;
};
struct DiscoveryConnected {
    DiscoveryCallId call;
};
struct DiscoveryAddressChanged { // by a reload of the configuration
    std::string address;
};
struct PolicyLoaded { // a checked access policy, after a reload
    std::shared_ptr<const access::Policy> policy;
};
struct WallClockRead {
    Ticks wall = 0;
};
struct FrontNodesCounted { // live front nodes, including this one
    std::size_t present = 1;
};
struct DrainStarted {};   // answers tell clients that their connection closes
struct TrafficStopped {}; // no request can be on its way any more: idle connections may be closed
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
    StreamId stream = 0;
};
struct RejectClient { // an error in the request itself, or a duplicate search
    ClientId client;
    int status = 400;
    std::string message;
    bool close = false;
    std::string_view challenge = {}; // WWW-Authenticate for a bad credential; static text
    StreamId stream = 0;             // 0 also if the connection itself is meant
};
struct ContinueHandshake { // by one step
    ClientId client;
};
struct Audit { // a record of the audit log, without secrets
    access::Reason reason = access::Reason::kNoCredential;
    std::string_view what;         // `refused`, `barred`, `distrusted`, `swapped`, `kept`
    std::string club, member, key; // the first two only if they are proven
    std::string request_class, search;
};
struct DrainClient { // asks it to go elsewhere, if its protocol has a message for that
    ClientId client;
};
struct CloseClient {
    ClientId client;
};
// Closes the sending side. What has been received is still handled; later input is read and discarded until
// the client closes.
struct HalfCloseClient {
    ClientId client;
};
struct AcceptClients {
    bool on = true;
};
struct QueryDiscovery {
    DiscoveryCallId call;
    std::string address;
    std::int64_t after = 0, wait_ms = 0;
    bool whole = false;
};
struct CancelDiscoveryCall { // the pending call, if any, and the connection to discovery
    std::string reason;
};
struct ArmTimer {
    Ticks at = 0;
};
using Effect = std::variant<OpenConnection, WriteConnection, CloseConnection, AnswerClient, RejectClient,
                            ContinueHandshake, Audit, DrainClient, CloseClient, HalfCloseClient,
                            AcceptClients, QueryDiscovery, CancelDiscoveryCall, ArmTimer>;

} // namespace ivyrill::routing
