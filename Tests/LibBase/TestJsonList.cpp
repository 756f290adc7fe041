#include "LibBase/JsonList.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;
using nlohmann::json;
namespace data = boost::unit_test::data;

namespace {

const JsonListNames Names{"Items", "Name"};

std::string entry(const std::string &name, const std::string &value = "1") {
  return R"({"Name":")" + name + R"(","Value":)" + value + "}";
}

std::string listOf(const std::vector<std::string> &entries) {
  std::string out = R"({"Items":[)";
  for (const std::string &it : entries)
    out += (&it == &entries.front() ? "" : ",") + it;
  return out + R"(],"HasMore":false,"AsOf":7})";
}

/// The names of the entries in order, "?" for one that can't be parsed.
std::string namesIn(const std::optional<JsonList> &list) {
  if (!list)
    return "none";
  std::string out;
  for (const JsonListEntry &it : list->Entries)
    out += it.Value ? it.Value->at("Name").get<std::string>() : "?";
  return out;
}

std::string nested(int levels) {
  return std::string(static_cast<std::size_t>(levels), '[') +
         std::string(static_cast<std::size_t>(levels), ']');
}

/// Values that make the entry around them one that can't be parsed.
const std::vector<std::string> Unparsable = {
    "\"\xff\xfe\x80\"",
    "\"a\x01z\"",
    "\"\\ud800\"",
    "\"\\x\"",
    "1e999",
    "NaN",
    "",
    "tru",
    "{",
    "[",
    "}",
    "]",
    "\"",
    R"({"Value":[1,{"a":1},{"b":2},"\x"]})",
    R"([{"Name"])",
    std::string("\"a\0b\"", 5),
};

} // namespace

BOOST_AUTO_TEST_SUITE(json_list)

// One entry that can't be parsed made the whole list one, so that a host
// learned of no change of any other entry.
BOOST_DATA_TEST_CASE(an_entry_that_cannot_be_parsed_costs_only_itself,
                     data::make(Unparsable), value) {
  BOOST_TEST(namesIn(parseJsonList(listOf({entry("a", value)}), Names)) == "?");
  BOOST_TEST(
      namesIn(parseJsonList(listOf({entry("x", value), entry("a"), entry("b")}),
                            Names)) == "?ab");
  BOOST_TEST(
      namesIn(parseJsonList(listOf({entry("a"), entry("x", value), entry("b")}),
                            Names)) == "a?b");
  const auto last =
      parseJsonList(listOf({entry("a"), entry("b"), entry("x", value)}), Names);
  BOOST_TEST(namesIn(last) == "ab?");
  BOOST_TEST(last->Envelope.at("AsOf") == 7);
}

BOOST_DATA_TEST_CASE(entries_in_a_row_that_cannot_be_parsed_are_told_apart,
                     data::make(Unparsable), value) {
  const auto list = parseJsonList(
      listOf({entry("a"), entry("x", value), entry("y", value), entry("b")}),
      Names);
  BOOST_REQUIRE(namesIn(list) == "a??b");
  BOOST_TEST(findJsonMember(list->Entries[1].Text, "Name").value_or("") == "x");
  BOOST_TEST(findJsonMember(list->Entries[2].Text, "Name").value_or("") == "y");
}

BOOST_AUTO_TEST_CASE(a_list_of_valid_entries_is_parsed_as_it_is) {
  BOOST_TEST(namesIn(parseJsonList(listOf({}), Names)) == "");
  BOOST_TEST(namesIn(parseJsonList(listOf({entry("a"), entry("b")}), Names)) ==
             "ab");
}

BOOST_AUTO_TEST_CASE(a_text_without_the_list_is_refused) {
  for (const char *text :
       {"", "{", "[]", "7", "null", R"({"Items":7})", R"({"Items":{}})",
        R"({"Items":[)", R"({"Items":[{"Name":"a"})", "\xff"})
    BOOST_TEST(!parseJsonList(text, Names));
}

// Writing a value takes stack space for each level; a few thousand brackets
// from another writer ended the process.
BOOST_AUTO_TEST_CASE(a_deeply_nested_entry_is_pruned) {
  constexpr int Levels = 200'000;
  const auto list = parseJsonList(
      listOf({entry("a"), entry("x", nested(Levels)), entry("b")}), Names);
  BOOST_REQUIRE(namesIn(list) == "axb");
  BOOST_TEST(list->Entries[1].Value->dump().size() < 1000U);
  BOOST_TEST(parseJson(nested(Levels)).dump().size() < 1000U);
}

BOOST_AUTO_TEST_CASE(a_deeply_nested_message_is_refused) {
  const std::string arrays(200'000, '\x81');
  BOOST_TEST(parseCbor(arrays + '\x01').is_discarded());
  BOOST_CHECK_THROW(parseCbor("\x81"), json::exception);
  BOOST_TEST(parseCbor("\x81\x01") == json::array({1}));
}

// A list whose entries take too much work to find is refused, as the host
// serves no calls meanwhile.
BOOST_AUTO_TEST_CASE(the_work_of_finding_entries_is_bounded) {
  std::string value;
  for (int n = 0; n < 20'000; ++n)
    value += R"([0,{"Name":)";
  const auto list =
      parseJsonList(listOf({entry("a"), entry("x", value), entry("b")}), Names);
  BOOST_TEST((!list || namesIn(list) == "a?b"));
}

BOOST_AUTO_TEST_CASE(members_are_found_in_a_text_that_cannot_be_parsed) {
  const std::string text =
      "{\"Removed\" : "
      "true,\"Name\":\"a\",\"Value\":\"\xff\",\"Removed\":false}";
  BOOST_TEST(findJsonMember(text, "Removed").value_or(0) == true);
  BOOST_TEST(findLastJsonMember(text, "Removed").value_or(0) == false);
  BOOST_TEST(findJsonMember(text, "Name").value_or(0) == "a");
  BOOST_TEST(!findJsonMember(text, "Value"));
  BOOST_TEST(!findJsonMember(text, "Other"));
}

BOOST_AUTO_TEST_SUITE_END()
