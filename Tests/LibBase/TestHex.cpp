#include "LibBase/Hex.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

BOOST_AUTO_TEST_SUITE(hex)

BOOST_AUTO_TEST_CASE(all_bytes_are_parsed_as_they_were_written) {
  std::string bytes;
  for (int n = 0; n < 256; ++n)
    bytes += static_cast<char>(n);
  BOOST_TEST(fromHex(toHex(bytes)).value() == bytes);
  BOOST_TEST(toHex("\x01\xfe") == "01fe");
}

BOOST_AUTO_TEST_CASE(other_text_is_refused) {
  for (const char *it : {"0", "0g", "AB", " 1", "0x"})
    BOOST_TEST(!fromHex(it));
  BOOST_TEST(fromHex("").value().empty());
}

BOOST_AUTO_TEST_SUITE_END()
