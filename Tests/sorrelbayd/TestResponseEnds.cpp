#include "GatewayFixture.h"
#include "RawCaller.h"
#include "ScriptedServer.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;
namespace asio = boost::asio;

namespace {

enum class Framing { Length, Chunks, ConnectionEnd };
/// How much of its body an upstream sends.
enum class Extent { Whole, InsideEvent, BetweenEvents };

/// How an upstream's response ends.
struct Ending {
  Extent Sent;
  ScriptedEnd End;
  /// The framing says that the part that was sent is all.
  bool IsFramedAsComplete = false;
  /// The response names its type, that of a stream.
  bool IsTypeNamed = true;
};

const std::vector<Ending> Endings = {
    {Extent::Whole, ScriptedEnd::Close},
    {Extent::Whole, ScriptedEnd::Reset},
    {Extent::InsideEvent, ScriptedEnd::Close},
    {Extent::InsideEvent, ScriptedEnd::Reset},
    {Extent::InsideEvent, ScriptedEnd::Silence},
    {Extent::InsideEvent, ScriptedEnd::Close, true},
    {Extent::InsideEvent, ScriptedEnd::Close, false, false},
    {Extent::InsideEvent, ScriptedEnd::Close, true, false},
    {Extent::BetweenEvents, ScriptedEnd::Close},
    {Extent::BetweenEvents, ScriptedEnd::Reset},
    {Extent::BetweenEvents, ScriptedEnd::Silence},
};

const Framing Framings[] = {Framing::Length, Framing::Chunks,
                            Framing::ConnectionEnd};
const std::string Paths[] = {"/q/1", "/n/1", "/s/1"};
constexpr std::size_t LastEvent = 3;
constexpr int ReplicaCount = 40;
constexpr Duration KeyRemoval = seconds(60);
constexpr Duration Grace = seconds(2);
/// So many retries for each call that the budget allows all of them.
constexpr double RetryShare = 10;
/// Bytes of an event that breaks off, and of the parts of split responses.
constexpr std::size_t PartialEventBytes = 9;
constexpr std::size_t SplitBytes = 4;

bool isStream(const std::string &path) { return path != "/q/1"; }
bool isResumable(const std::string &path) { return path == "/s/1"; }

std::string event(std::size_t n, const std::string &newline) {
  return "id: " + std::to_string(n) + newline + "data: event " +
         std::to_string(n) + newline + newline;
}

/// The events after the one with that id.
std::string eventsAfter(std::size_t n, const std::string &newline) {
  std::string out;
  for (++n; n <= LastEvent; ++n)
    out += event(n, newline);
  return out;
}

std::string firstBody(Extent sent, const std::string &newline) {
  std::string whole = eventsAfter(0, newline);
  const std::size_t last = event(LastEvent, newline).size();
  switch (sent) {
  case Extent::Whole:
    return whole;
  case Extent::InsideEvent:
    return whole.substr(0, whole.size() - last + PartialEventBytes);
  case Extent::BetweenEvents:
    return whole.substr(0, whole.size() - last);
  }
  return "";
}

std::string chunk(const std::string &bytes) {
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string head(const std::string &request, const std::string &fields) {
  return "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Call: " +
         scriptedHeader(request, "X-Call") + "\r\n" + fields + "\r\n";
}

/// The header fields by which a response of that length is framed.
std::string framingFields(Framing framing, std::size_t length) {
  switch (framing) {
  case Framing::Length:
    return "Content-Length: " + std::to_string(length) + "\r\n";
  case Framing::Chunks:
    return "Transfer-Encoding: chunked\r\n";
  case Framing::ConnectionEnd:
    return "";
  }
  return "";
}

/// A response with the body, of which `length` bytes are announced.
ScriptedResponse respond(const std::string &request, Framing framing,
                         const std::string &body, std::size_t length,
                         bool isSplit, bool isTypeNamed) {
  ScriptedResponse out;
  std::string fields = framingFields(framing, length);
  if (isTypeNamed)
    fields += "Content-Type: text/event-stream\r\n";
  out.Parts = {head(request, fields)};
  const std::size_t step =
      isSplit ? SplitBytes : std::max<std::size_t>(1, body.size());
  for (std::size_t at = 0; at < body.size(); at += step) {
    const std::string part = body.substr(at, step);
    out.Parts.push_back(framing == Framing::Chunks ? chunk(part) : part);
  }
  if (framing == Framing::Chunks && body.size() == length)
    out.Parts.emplace_back("0\r\n\r\n");
  return out;
}

/// Whether anything shows that the response is not complete.
bool isShownBroken(Framing framing, const Ending &ending, bool isEvents) {
  if (framing == Framing::ConnectionEnd && ending.End != ScriptedEnd::Close)
    return true;
  if (ending.Sent == Extent::Whole)
    return false;
  if (ending.Sent == Extent::InsideEvent && isEvents && ending.IsTypeNamed)
    return true;
  if (framing == Framing::ConnectionEnd)
    return ending.Sent == Extent::InsideEvent && isEvents;
  return !ending.IsFramedAsComplete;
}

/// The wait limit of a caller that gets a whole response, and of one that may
/// get a response without an end. The first is long, since a busy machine takes
/// longer than the second.
constexpr int WholeWaitMs = 5000;
constexpr int BrokenWaitMs = 150;

std::string requestText(const std::string &path, const std::string &version,
                        int waitMs) {
  static int lastId = 0;
  return "GET " + path + " HTTP/" + version +
         "\r\nHost: test.example\r\nConnection: close\r\nX-Key: key\r\nX-Call: "
         "raw" +
         std::to_string(++lastId) +
         "\r\nX-Wait-Limit-Ms: " + std::to_string(waitMs) + "\r\n\r\n";
}

/// Replaces the fixture's upstream. There are so many replicas that none fails
/// often enough to be avoided.
void useUpstream(GatewayFixture &fixture, const ScriptedServer &upstream) {
  for (int n = ReplicaCount; n >= 1; --n)
    fixture.Store.put(ResourceKind::Replicas, "r" + std::to_string(n),
                      upstream.address() + " ready");
  fixture.waitUntilSeen(ResourceKind::Replicas);
}

/// The upstream's response to a call, and to one that resumes it.
ScriptedServer::Script scriptOf(const Ending &ending, Framing framing,
                                const std::string &newline, bool isSplit) {
  return [=](const std::string &request) {
    const std::string after = scriptedHeader(request, "X-After");
    if (!after.empty()) {
      const std::string rest = eventsAfter(std::stoul(after), newline);
      return respond(request, framing, rest, rest.size(), isSplit,
                     ending.IsTypeNamed);
    }
    const std::string sent = firstBody(ending.Sent, newline);
    const std::size_t length = ending.IsFramedAsComplete
                                   ? sent.size()
                                   : eventsAfter(0, newline).size();
    ScriptedResponse out =
        respond(request, framing, sent, length, isSplit, ending.IsTypeNamed);
    out.End = ending.End;
    return out;
  };
}

/// Sends a call to a host for each ending, and checks what its caller gets.
struct EndingTable {
  ScriptedServer &Upstream;
  std::string CallerAddress;
  std::string Path;
  std::string Newline = "\n";
  std::string CallerVersion = "1.1";
  /// The host that calls are relayed to; empty if they are not. It may resume a
  /// relayed stream within the retries that its own calls allow.
  std::string RelayAddress = {};

  void check(Framing framing) const {
    for (const Ending &ending : Endings)
      for (const bool isSplit : {false, true}) {
        if (!RelayAddress.empty())
          callRelayHost();
        Upstream.setScript(scriptOf(ending, framing, Newline, isSplit));
        BOOST_TEST_CONTEXT(Path << " framing " << static_cast<int>(framing)
                                << " sent " << static_cast<int>(ending.Sent)
                                << " end " << static_cast<int>(ending.End)
                                << " framed as complete "
                                << ending.IsFramedAsComplete << " typed "
                                << ending.IsTypeNamed << " split " << isSplit)
        checkReply(
            callRaw(CallerAddress, requestText(Path, CallerVersion,
                                               isExpectedWhole(framing, ending)
                                                   ? WholeWaitMs
                                                   : BrokenWaitMs)),
            framing, ending);
      }
  }

  void callRelayHost() const {
    Upstream.setScript(scriptOf({Extent::Whole, ScriptedEnd::Close},
                                Framing::Length, Newline, false));
    BOOST_TEST(callRaw(RelayAddress, requestText("/q/1", "1.1", WholeWaitMs))
                   .IsComplete);
  }

  bool isExpectedResumed(Framing framing, const Ending &ending) const {
    return isShownBroken(framing, ending, isStream(Path)) &&
           isResumable(Path) && ending.End != ScriptedEnd::Silence;
  }

  bool isExpectedWhole(Framing framing, const Ending &ending) const {
    return !isShownBroken(framing, ending, isStream(Path)) ||
           isExpectedResumed(framing, ending);
  }

  void checkReply(const RawReply &reply, Framing framing,
                  const Ending &ending) const {
    const std::string whole = eventsAfter(0, Newline);
    const bool isResumed = isExpectedResumed(framing, ending);
    const bool isGood = reply.Status == 200 && reply.IsComplete;
    if (CallerVersion == "1.0")
      BOOST_TEST(!reply.IsChunked);
    BOOST_TEST(isGood == isExpectedWhole(framing, ending));
    if (isGood)
      BOOST_TEST(reply.Body ==
                 (isResumed ? whole : firstBody(ending.Sent, Newline)));
    else if (reply.Status == 200)
      BOOST_TEST(whole.substr(0, reply.Body.size()) == reply.Body);
  }
};

/// Checks all framings and endings at hosts that reach the upstream themselves.
void checkDirectCalls(const std::string &path, const std::string &newline,
                      const std::string &callerVersion) {
  for (const Framing framing : Framings) {
    GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
    ScriptedServer upstream;
    fixture.callUntil(200, "key");
    useUpstream(fixture, upstream);
    EndingTable{upstream, fixture.CallerAddress, path, newline, callerVersion}
        .check(framing);
  }
}

/// An upstream that keeps its connections and sends what the script returns for
/// a request and the number of requests before it on the connection. Runs on a
/// thread of its own.
class RawUpstream {
public:
  using Script = std::function<std::string(const std::string &, int)>;

  explicit RawUpstream(Script script)
      : Respond(std::move(script)),
        Acceptor(Loop, {asio::ip::address_v4::loopback(), 0}) {
    accept();
    Worker = std::thread([this] { Loop.run(); });
  }
  ~RawUpstream() {
    Loop.stop();
    Worker.join();
  }
  RawUpstream(const RawUpstream &) = delete;
  RawUpstream &operator=(const RawUpstream &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  int reused() const { return Reused; }

private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket socket)
        : Socket(std::move(socket)) {}
    asio::ip::tcp::socket Socket;
    std::string Input;
    std::string Output;
    int Requests = 0;
  };

  void accept() {
    Acceptor.async_accept(
        [this](boost::system::error_code ec, asio::ip::tcp::socket socket) {
          if (ec)
            return;
          serve(std::make_shared<Connection>(std::move(socket)));
          accept();
        });
  }

  void serve(const std::shared_ptr<Connection> &it) {
    asio::async_read_until(
        it->Socket, asio::dynamic_buffer(it->Input), "\r\n\r\n",
        [this, it](boost::system::error_code ec, std::size_t) {
          if (ec)
            return;
          Reused += it->Requests > 0 ? 1 : 0;
          it->Output = Respond(it->Input, it->Requests++);
          it->Input.clear();
          asio::async_write(
              it->Socket, asio::buffer(it->Output),
              [this, it](boost::system::error_code failed, std::size_t) {
                if (!failed)
                  serve(it);
              });
        });
  }

  Script Respond;
  asio::io_context Loop;
  asio::ip::tcp::acceptor Acceptor;
  std::atomic<int> Reused{0};
  std::thread Worker;
};

} // namespace

BOOST_AUTO_TEST_SUITE(response_ends)

// An upstream's response breaks off, and its caller takes what has arrived for
// the whole response.
BOOST_AUTO_TEST_CASE(a_response_that_broke_off_never_looks_complete) {
  for (const std::string &path : Paths)
    checkDirectCalls(path, "\n", "1.1");
}

// The same for a caller of HTTP/1.0, which gets no chunks.
BOOST_AUTO_TEST_CASE(a_caller_without_chunks_can_tell_what_broke_off) {
  for (const std::string &path : Paths)
    checkDirectCalls(path, "\n", "1.0");
}

// The same for streams whose lines do not end with LF.
BOOST_AUTO_TEST_CASE(streams_with_any_line_ending_are_judged_alike) {
  for (const std::string path : {"/n/1", "/s/1"})
    for (const std::string newline : {"\r", "\r\n"})
      checkDirectCalls(path, newline, "1.1");
}

// The same, with another host between the upstream and the caller's.
BOOST_AUTO_TEST_CASE(a_relayed_response_that_broke_off_never_looks_complete) {
  for (const std::string &path : Paths)
    for (const Framing framing : Framings) {
      GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
      ScriptedServer upstream;
      const auto cut = fixture.addHost("cut");
      useUpstream(fixture, upstream);
      cut->Path.set(PathState::Resets);
      EndingTable{upstream, cut->CallerAddress,   path, "\n",
                  "1.1",    fixture.CallerAddress}
          .check(framing);
    }
}

namespace {

/// Responds with a stream that ends with its connection: inside an event if the
/// replica's name begins so, otherwise whole.
ScriptedServer::Script brokenAt(const std::string &brokenReplicas) {
  return [=](const std::string &request) {
    const std::string replica = scriptedHeader(request, "X-Replica");
    const bool isBroken = replica.find(brokenReplicas) == 0;
    const std::string body =
        firstBody(isBroken ? Extent::InsideEvent : Extent::Whole, "\n");
    return respond(request, Framing::ConnectionEnd, body, body.size(), false,
                   true);
  };
}

} // namespace

// A new version crashes inside its streams. If these counted as answered, it
// would get all calls.
BOOST_AUTO_TEST_CASE(a_version_whose_streams_break_off_is_rolled_back) {
  GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
  ScriptedServer upstream(brokenAt("new"));
  fixture.callUntil(200, "key");
  useUpstream(fixture, upstream);
  fixture.Store.put(ResourceKind::Moves, "desk", "v2");
  fixture.Store.put(ResourceKind::Replicas, "new1",
                    upstream.address() + " ready");
  std::string status;
  for (int n = 0; n < 4000 && status != "rolled_back"; ++n) {
    BOOST_REQUIRE(status != "completed");
    callRaw(fixture.CallerAddress, requestText("/n/1", "1.1", WholeWaitMs));
    status = fixture.Store.statusOf(ResourceKind::Moves, "desk");
  }
  BOOST_TEST(status == "rolled_back");
}

// One of two upstreams crashes inside each of its streams. If these counted as
// answered, it would go on getting half of all calls.
BOOST_AUTO_TEST_CASE(an_upstream_whose_streams_break_off_is_avoided) {
  GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
  ScriptedServer upstream(brokenAt("r1"));
  fixture.callUntil(200, "key");
  for (const std::string id : {"r1", "r2"})
    fixture.Store.put(ResourceKind::Replicas, id,
                      upstream.address() + " ready");
  fixture.waitUntilSeen(ResourceKind::Replicas);
  int broken = 0;
  constexpr int Calls = 60;
  for (int n = 0; n < Calls; ++n)
    broken +=
        callRaw(fixture.CallerAddress, requestText("/n/1", "1.1", WholeWaitMs))
                .IsComplete
            ? 0
            : 1;
  BOOST_TEST(broken > 0);
  BOOST_TEST(broken < Calls / 4);
}

// A faulty upstream adds a 503 that names no call to a complete response. It
// arrives where the response to the next call on the connection is expected,
// which runs: its caller would get a response that says that it has not.
BOOST_AUTO_TEST_CASE(an_added_response_is_not_taken_for_the_next_one) {
  GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
  fixture.callUntil(200, "key");
  RawUpstream upstream([](const std::string &request, int requestsBefore) {
    const std::string added =
        requestsBefore == 0 ? ""
                            : "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    return added +
           "HTTP/1.1 200 OK\r\nX-Call: " + scriptedHeader(request, "X-Call") +
           "\r\nContent-Length: 2\r\n\r\nok";
  });
  fixture.Store.put(ResourceKind::Replicas, "r1",
                    upstream.address() + " ready");
  fixture.waitUntilSeen(ResourceKind::Replicas);
  for (int n = 0; n < 20; ++n) {
    const HttpReply reply = fixture.call("key");
    BOOST_TEST(reply.Status == 200);
    BOOST_TEST(reply.Body == "ok");
  }
  BOOST_TEST(upstream.reused() > 0);
}

BOOST_AUTO_TEST_SUITE_END()
