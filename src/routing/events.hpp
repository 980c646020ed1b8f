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
using AskId = Id<struct AskTag, std::uint64_t>; // a call to discovery

struct ClientOpened {
    ClientId client;
    bool guarded = true; // its listener asks for a credential, where access is on
    bool sealed = false; // it must shake hands first
};
struct ShakeWanted { // its bytes have come, its handshake can go on
    ClientId client;
};
struct ClientSecured { // its handshake is done; the chain that it showed, or null
    ClientId client;
    std::shared_ptr<const access::Chain> chain;
};
struct SearchRead {
    ClientId client;
    protocol::SearchRequest request;
    Tenths age = 0; // it reached this machine so long ago
    StreamNo stream = 0;
};
struct SearchLeft { // its client has taken it back, and keeps its connection
    ClientId client;
    StreamNo stream = 0;
};
struct ClientMidway { // a request has begun and is not whole
    ClientId client;
};
struct ClientAnswered { // it asked for something else than a search, and has its answer
    ClientId client;
};
struct ClientLeaving { // its last answer is with the system; what it still sends is not read
    ClientId client;
};
struct ClientGone {
    ClientId client;
};
struct ConnectionUp {
    ConnectionId connection;
};
struct ConnectionWrote { // so many of its bytes has the system taken
    ConnectionId connection;
    std::uint64_t total = 0;
};
struct ConnectionEnded { // refused, broken or closed by the other side
    ConnectionId connection;
};
struct ConnectionMidway { // a frame has begun and is not whole
    ConnectionId connection;
};
struct ConnectionSpoilt { // what came cannot be read; the answer names this part, or none
    ConnectionId connection;
    std::string part;
};
struct PartAnswered {
    ConnectionId connection;
    protocol::PartAnswer answer;
    Tenths age = 0;
};
struct LoadTold {
    ConnectionId connection;
    protocol::LoadAnswer answer;
};
struct ListTold {
    AskId ask;
    protocol::ServerList list;
};
struct ListLost {
    AskId ask;
};
struct AskSent { // its connection has come up
    AskId ask;
};
struct DiscoveryNamed { // the configuration was read again
    std::string address;
};
struct PolicyRead { // access was read again, whole and checked
    std::shared_ptr<const access::Policy> policy;
};
struct WallTold { // what the system's clock says now
    Tenths wall = 0;
};
struct MembersCounted { // front nodes that are there, ourselves among them
    std::size_t present = 1;
};
struct DrainOrdered {}; // answers go out with the last word on their connection
struct QuietOrdered {}; // no request can be on its way any more: idle connections may go
using Event =
    std::variant<ClientOpened, ShakeWanted, ClientSecured, PolicyRead, WallTold, SearchRead, SearchLeft,
                 ClientMidway, ClientAnswered, ClientLeaving, ClientGone, AskSent, ConnectionUp,
                 ConnectionWrote, ConnectionEnded, ConnectionMidway, ConnectionSpoilt, PartAnswered, LoadTold,
                 ListTold, ListLost, DiscoveryNamed, MembersCounted, DrainOrdered, QuietOrdered>;

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
struct ShakeHands { // one step of its handshake
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
struct ShutClient {
    ClientId client;
};
struct AcceptClients {
    bool on = true;
};
struct AskDiscovery {
    AskId ask;
    std::string address;
    std::int64_t after = 0, wait_ms = 0;
    bool whole = false;
};
struct DropAsk { // the call that is out, if any, and the connection to discovery
    std::string why;
};
struct ArmTimer {
    Tenths at = 0;
};
using Effect =
    std::variant<OpenConnection, WriteConnection, CloseConnection, AnswerClient, RejectClient, ShakeHands,
                 Audit, DrainClient, CloseClient, ShutClient, AcceptClients, AskDiscovery, DropAsk, ArmTimer>;

} // namespace ivyrill::routing
