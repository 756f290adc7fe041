#include "DaemonSettings.h"
#include "LibBase/TomlReader.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const char *const Key =
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

std::string goodSettings() {
  return std::string("host = \"e1\"\nzone = \"a\"\nlisten = \"10.0.0.1:80\"\n"
                     "platform = \"10.0.0.9:80\"\noperator_keys = [\"") +
         Key +
         "\"]\n[peer]\nlisten = \"10.0.0.1:81\"\nsecret = "
         "\"0123456789abcdef\"\n";
}

struct SettingsRow {
  const char *Name;
  /// The text in the valid settings that is replaced by New.
  const char *Old;
  const char *New;
  const char *Wanted;
};

std::ostream &operator<<(std::ostream &out, const SettingsRow &row) {
  return out << row.Name;
}

const SettingsRow Rows[] = {
    {"unknown key", "zone =", "zoen =", "s.toml:2: zoen: is not a known key"},
    {"missing key", "host = \"e1\"", "", "s.toml: host: is missing"},
    {"wrong type", "host = \"e1\"", "host = 1",
     "s.toml:1: host: must be a string"},
    {"host name for an IP", "10.0.0.1:80", "localhost:80",
     "s.toml:3: listen: must be an IP address and a port"},
    {"port out of range", "10.0.0.1:80", "10.0.0.1:70000",
     "s.toml:3: listen: must be an IP address and a port"},
    {"short secret", "0123456789abcdef", "short",
     "s.toml:8: peer.secret: must have at least 16 characters"},
    {"bad operator key", "0011", "zz11",
     "s.toml:5: operator_keys: must hold only public keys"},
    {"clashing limits", "[peer]",
     "[limits]\nworkers = 10\nmax_open_calls = 10\n[peer]",
     "s.toml:8: limits.max_open_calls: must be below workers"},
};

std::string faultsOf(const std::string &text) {
  try {
    parseDaemonSettings(text, "s.toml");
    return "";
  } catch (const TomlError &error) {
    return error.what();
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(DaemonSettingsTests)

BOOST_AUTO_TEST_CASE(valid_settings_are_accepted) {
  BOOST_TEST(faultsOf(goodSettings()) == "");
  BOOST_TEST(parseDaemonSettings(goodSettings(), "s.toml").Host.text() == "e1");
}

BOOST_DATA_TEST_CASE(each_fault_is_named, boost::unit_test::data::make(Rows),
                     row) {
  std::string text = goodSettings();
  const std::string old = row.Old;
  text.replace(text.find(old), old.size(), row.New);
  const std::string faults = faultsOf(text);
  BOOST_TEST(faults.find(row.Wanted) != std::string::npos,
             "'" << faults << "' lacks '" << row.Wanted << "'");
}

BOOST_AUTO_TEST_SUITE_END()
