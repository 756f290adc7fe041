#include "LibBase/TomlReader.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace sorrelbay;

namespace {

struct FaultRow {
  const char *Name;
  const char *Text;
  const char *ExpectedMessage;
};

std::ostream &operator<<(std::ostream &out, const FaultRow &row) {
  return out << row.Name;
}

const FaultRow FaultRows[] = {
    {"wrong type", "port = 'x'", "s.toml:1: port: must be a whole number"},
    {"out of range", "port = 70000", "s.toml:1: port: must be from 0 to 65535"},
    {"unknown key", "port = 1\nprot = 2", "s.toml:2: prot: is not a known key"},
    {"unknown nested key", "port = 1\n[peer]\nhots = 'a'",
     "s.toml:3: peer.hots: is not a known key"},
    {"missing key", "", "s.toml: port: is missing"},
    {"two at once", "port = -1\nx = 1",
     "s.toml:1: port: must be from 0 to 65535\ns.toml:2: x: is not a known "
     "key"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(TomlReaderTests)

BOOST_DATA_TEST_CASE(refuses_and_names_every_fault,
                     boost::unit_test::data::make(FaultRows), row) {
  TomlReader reader = TomlReader::parse(row.Text, "s.toml");
  reader.requiredInteger("port", 0, 65535);
  reader.table("peer").text("host", "");
  BOOST_CHECK_EXCEPTION(
      reader.finish(), TomlError, [&row](const TomlError &error) {
        return std::string(error.what()) == row.ExpectedMessage;
      });
}

BOOST_AUTO_TEST_SUITE_END()
