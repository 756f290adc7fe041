#include "LibHttp/AsyncHttpServer.h"
#include "platform/StoreClient.h"
#include <any>
#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace sorrelbay;
using namespace sorrelbay::platform;
namespace data = boost::unit_test::data;

namespace {

constexpr Duration Timeout = seconds(5);

/// A store that gives the same responses in turn, and a client of it.
struct ScriptedStore {
  explicit ScriptedStore(std::vector<std::string> responses)
      : Responses(std::move(responses)) {}

  template <typename Value> StoreResult<Value> awaitResult() {
    while (!IsDone)
      Loop.run_one();
    return std::any_cast<StoreResult<Value>>(Result);
  }

  template <typename Value> StoreCallback<Value> keep() {
    return [this](const StoreResult<Value> &it) {
      Result = it;
      IsDone = true;
    };
  }

  StoreResult<ResourceListing> list() {
    Hooks.List(ResourceKind::Replicas, ListFreshness::Latest,
               keep<ResourceListing>());
    return awaitResult<ResourceListing>();
  }

  StoreResult<ResourceChanges> watch() {
    Hooks.Watch(ResourceKind::Replicas, 1, milliseconds(50),
                keep<ResourceChanges>());
    return awaitResult<ResourceChanges>();
  }

  std::vector<std::string> Responses;
  std::vector<std::string> Paths;
  boost::asio::io_context Loop;
  AsyncHttpServer Server{Loop,
                         "127.0.0.1:0",
                         {[] { return HttpLimits{}; },
                          [this](const std::shared_ptr<HttpExchange> &it) {
                            const std::size_t n = Paths.size();
                            Paths.push_back(it->request().Path);
                            it->respond(200, {}, Responses.at(n));
                          }}};
  ResourceStore Hooks =
      makeStoreClient(Loop, std::make_shared<AsyncHttpClient>(Loop),
                      Server.address(), Timeout, Timeout);
  std::any Result;
  bool IsDone = false;
};

std::string object(const std::string &name, int revision,
                   const std::string &spec) {
  return R"({"Metadata":{"Name":")" + name + R"(","Revision":)" +
         std::to_string(revision) + R"(},"Spec":)" + spec + "}";
}

std::string joined(const std::vector<std::string> &all) {
  std::string out;
  for (const std::string &it : all)
    out += (out.empty() ? "" : ",") + it;
  return out;
}

std::string page(const std::vector<std::string> &objects,
                 bool hasMore = false) {
  return R"({"Items":[)" + joined(objects) + R"(],"HasMore":)" +
         (hasMore ? "true" : "false") + R"(,"AsOf":9})";
}

/// The members of an event are in another order with `isRemovedFirst`.
std::string event(const std::string &object, bool isRemoved,
                  bool isRemovedFirst) {
  const std::string removed =
      std::string(R"("Removed":)") + (isRemoved ? "true" : "false");
  return isRemovedFirst ? "{" + removed + R"(,"Object":)" + object + "}"
                        : R"({"Object":)" + object + "," + removed + "}";
}

std::string events(const std::vector<std::string> &all) {
  return R"({"events":[)" + joined(all) + R"(],"AsOf":9})";
}

/// What another writer may leave in an entry.
const std::vector<std::string> UnreadableSpecs = {
    "{\"Service\":\"\xff\xfe\x80\"}",
    "{\"Service\":\"\x01\"}",
    "{\"Service\":\"\\ud800\"}",
    "{\"Slots\":1e999}",
    "{\"Slots\":",
    "[",
    "\""};

} // namespace

BOOST_AUTO_TEST_SUITE(store_client)

// Another writer's entry holds bytes that can't be parsed. Hosts learned of no
// change of any upstream while it was there, and one that started did not get
// ready.
BOOST_DATA_TEST_CASE(a_list_beside_an_unreadable_entry_is_read,
                     data::make(UnreadableSpecs), spec) {
  ScriptedStore store(
      {page({object("a", 3, R"({"Slots":1})"), object("bad", 4, spec),
             object("worse", 5, spec), object("z", 6, R"({"Slots":2})")})});
  const auto result = store.list();
  BOOST_REQUIRE(result.Got);
  BOOST_REQUIRE(result.Got->Objects.size() == 4U);
  BOOST_TEST(result.Got->Objects[0].Body == R"({"Slots":1})");
  BOOST_TEST(result.Got->Objects[1].Name == "bad");
  BOOST_TEST(result.Got->Objects[1].Revision == 4U);
  BOOST_TEST(result.Got->Objects[1].Body.empty());
  BOOST_TEST(result.Got->Objects[2].Name == "worse");
  BOOST_TEST(result.Got->Objects[3].Body == R"({"Slots":2})");
  BOOST_TEST(result.Got->AtRevision == 9U);
  BOOST_TEST(result.Got->Unnamed.empty());
}

// The entry of a known upstream becomes unreadable, and another is removed. A
// host that passes over these would go on using both.
BOOST_DATA_TEST_CASE(events_beside_an_unreadable_one_are_read,
                     data::make(UnreadableSpecs) * data::make({false, true}),
                     spec, isRemovedFirst) {
  ScriptedStore store(
      {events({event(object("a", 3, "{}"), false, isRemovedFirst),
               event(object("bad", 4, spec), false, isRemovedFirst),
               event(object("gone", 5, spec), true, isRemovedFirst),
               event(object("z", 6, "{}"), true, isRemovedFirst)})});
  const auto result = store.watch();
  BOOST_REQUIRE(result.Got);
  BOOST_REQUIRE(result.Got->Changes.size() == 4U);
  BOOST_TEST(result.Got->Changes[1].Object.Name == "bad");
  BOOST_TEST(result.Got->Changes[1].Object.Body.empty());
  BOOST_TEST(!result.Got->Changes[1].IsRemoved);
  BOOST_TEST(result.Got->Changes[2].Object.Name == "gone");
  BOOST_TEST(result.Got->Changes[2].IsRemoved);
  BOOST_TEST(result.Got->Changes[3].IsRemoved);
  BOOST_TEST(result.Got->AtRevision == 9U);
}

// An entry without a name, or of another type, belongs to no object.
BOOST_AUTO_TEST_CASE(entries_without_a_name_are_passed_over) {
  ScriptedStore store({page({object("a", 3, "{}"), "7", "null",
                             R"({"Metadata":{"Name":5,"Revision":1}})",
                             "{\"Metadata\":{\"Name\":\"\xff\"}}", "[]",
                             object("z", 6, "{}")})});
  const auto result = store.list();
  BOOST_REQUIRE(result.Got);
  BOOST_TEST(result.Got->Objects.size() == 2U);
  BOOST_TEST(!result.Got->Unnamed.empty());
}

// A name ends up in the path that asks for the next page.
BOOST_AUTO_TEST_CASE(any_name_may_end_a_page) {
  ScriptedStore store(
      {page({object("a b&c", 3, "{}")}, true), page({object("z", 6, "{}")})});
  BOOST_REQUIRE(store.list().Got);
  BOOST_TEST(store.Paths.at(1) == "/-/objects/servers?After=a%20b%26c");
}

BOOST_AUTO_TEST_CASE(a_page_without_a_name_to_continue_after_fails) {
  ScriptedStore store({page({"7"}, true)});
  BOOST_TEST(!store.list().Got);
}

BOOST_AUTO_TEST_CASE(a_response_that_is_no_list_fails) {
  for (const char *body : {"", "7", "{}", R"({"Items":[)", R"({"Items":[]})"}) {
    ScriptedStore store({body});
    BOOST_TEST(!store.list().Got);
  }
}

BOOST_AUTO_TEST_SUITE_END()
