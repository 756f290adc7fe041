#include "Deployment.h"
#include "LibHttp/HttpClient.h"
#include <arpa/inet.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace sorrelbay;

namespace {

/// A daemon that all rows share; each row must leave it serving.
struct ServingDaemon {
  ServingDaemon() {
    Cluster.addEngine("zone-a", "v1");
    Cluster.addDesk("zone-a");
    Cluster.addDaemon("zone-a");
    Cluster.roll(standardBundle(1, SingleVersionToml));
    Cluster.waitReady();
  }
  static Deployment &instance() {
    static ServingDaemon only;
    return only.Cluster;
  }
  Deployment Cluster;
};

struct RequestRow {
  const char *Name;
  const char *Path;
  HttpHeaders Headers;
  std::string Body;
  int Status;
  const char *Type;
};

std::ostream &operator<<(std::ostream &out, const RequestRow &row) {
  return out << row.Name;
}

const char *const Chat = "/v1/chat/completions";
const char *const GoodChat =
    R"({"model":"model","messages":[{"role":"user","content":"x"}]})";
const HttpHeader Crew{"X-Team", "crew"};

const RequestRow RequestRows[] = {
    {"broken JSON", Chat, {Crew}, "{\"model\":", 400, "bad-request"},
    {"no messages", Chat, {Crew}, R"({"model":"model"})", 400, "bad-request"},
    {"number for a model",
     Chat,
     {Crew},
     R"({"model":1,"messages":[1]})",
     400,
     "bad-request"},
    {"unknown model",
     Chat,
     {Crew},
     R"({"model":"other","messages":[{"role":"user","content":"x"}]})",
     404,
     "unknown-model"},
    {"unknown route",
     Chat,
     {Crew, {"X-Route", "no-such-route"}},
     GoodChat,
     404,
     "unknown-route"},
    {"unknown team",
     Chat,
     {{"X-Team", "no-such-team"}},
     GoodChat,
     403,
     "unknown-team"},
    {"no team", Chat, {}, GoodChat, 403, "unknown-team"},
    {"deadline that is no number",
     Chat,
     {Crew, {"X-Deadline-Ms", "soon"}},
     GoodChat,
     400,
     "bad-request"},
    {"oversized body",
     Chat,
     {Crew},
     std::string(2'000'000, 'x'),
     413,
     "too-large"},
    {"unknown operation",
     "/v1/desk/no-such-operation",
     {Crew},
     "{}",
     404,
     "unknown-route"},
    {"missing key", "/v1/desk/booking", {Crew}, "{}", 400, "missing-key"},
    {"over-long key",
     "/v1/desk/booking",
     {Crew, {"Idempotency-Key", std::string(201, 'k')}},
     "{}",
     400,
     "bad-request"},
    {"unknown path", "/v2/anything", {Crew}, "{}", 404, "not-found"},
};

/// Sends an incomplete request and keeps the connection open.
class SlowSender {
public:
  SlowSender(const std::string &address, const std::string &bytes) {
    const std::size_t colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    Socket = socket(AF_INET, SOCK_STREAM, 0);
    HasConnected = connect(Socket, reinterpret_cast<const sockaddr *>(&to),
                           sizeof(to)) == 0;
    send(Socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  ~SlowSender() { close(Socket); }
  SlowSender(const SlowSender &) = delete;
  SlowSender &operator=(const SlowSender &) = delete;

  bool hasConnected() const { return HasConnected; }

private:
  int Socket;
  bool HasConnected = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BadInput)

// A caller sends a malformed or hostile request. Without validation at the
// entry host it could interrupt the responses of other callers.
BOOST_DATA_TEST_CASE(bad_requests_get_a_typed_answer,
                     boost::unit_test::data::make(RequestRows), row) {
  const std::string &address = ServingDaemon::instance().Daemons[0]->Address;
  HttpCall call;
  call.Method = "POST";
  call.Path = row.Path;
  call.Headers = row.Headers;
  call.Body = row.Body;
  const HttpReply reply = sendOnce(address, call);
  BOOST_TEST(reply.Status == row.Status);
  const std::string type = std::string("\"urn:sorrelbay:problem:") + row.Type;
  BOOST_TEST(reply.Body.find(type) != std::string::npos, reply.Body);
  BOOST_TEST(reply.Body.find("\"outcome\":\"not_run\"") != std::string::npos);
  BOOST_TEST(streamChat(address, "still serving?", 3).IsWhole);
}

struct SenderRow {
  const char *Name;
  bool IsPeerPort;
  const char *Bytes;
};

std::ostream &operator<<(std::ostream &out, const SenderRow &row) {
  return out << row.Name;
}

const SenderRow SenderRows[] = {
    {"half a request line", false, "POST /v1/chat/comp"},
    {"headers without end", false, "POST /v1/chat/completions HTTP/1.1\r\nX:"},
    {"body that never comes", false,
     "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\nx"},
    {"not HTTP at all", false, "\x16\x03\x01\x02garbage\r\n\r\n"},
    {"nothing on the peer port", true, ""},
    {"no hello on the peer port", true, "GET / HTTP/1.1\r\n\r\n"},
    {"garbage on the peer port", true, "\xff\xff\xff\xff"},
};

// A client keeps a connection open with an incomplete request. If such
// connections could block others, callers would not be served.
BOOST_DATA_TEST_CASE(slow_senders_block_nobody,
                     boost::unit_test::data::make(SenderRows), row) {
  const TestDaemon &daemon = *ServingDaemon::instance().Daemons[0];
  const SlowSender sender(row.IsPeerPort ? daemon.PeerAddress : daemon.Address,
                          row.Bytes);
  // The peer port is open only while the peer link runs.
  BOOST_TEST((row.IsPeerPort || sender.hasConnected()));
  BOOST_TEST(streamChat(daemon.Address, "still serving?", 3).IsWhole);
  BOOST_TEST(daemon.Process->isRunning());
}

static const bool PortInUseRows[] = {false, true};

// A daemon is started with a port that another one is using, or the same port
// is configured twice. It must exit with an error that names the port, or the
// operator cannot find the cause.
BOOST_DATA_TEST_CASE(a_daemon_whose_port_is_in_use_reports_it,
                     boost::unit_test::data::make(PortInUseRows), isPeerPort) {
  const Deployment &cluster = ServingDaemon::instance();
  const TestDaemon &first = *cluster.Daemons[0];
  BOOST_TEST_REQUIRE(first.Process->isRunning());
  TestDaemon conflicting;
  conflicting.Zone = first.Zone;
  conflicting.Platform = first.Platform;
  const std::string host = first.Address.substr(0, first.Address.find(':'));
  conflicting.Address = isPeerPort ? host + ":0" : first.Address;
  conflicting.PeerAddress = isPeerPort ? first.PeerAddress : host + ":0";
  ChildProcess second(
      "sorrelbayd",
      {"--settings", cluster.writeSettings("second", conflicting)},
      cluster.logPath("second"));
  BOOST_TEST(second.wait() == 1);
  BOOST_TEST(second.hasLogged("daemon failed"));
  const std::string &portInUse = isPeerPort ? first.PeerAddress : first.Address;
  BOOST_TEST(second.hasLogged(portInUse), portInUse);
}

BOOST_AUTO_TEST_SUITE_END()
