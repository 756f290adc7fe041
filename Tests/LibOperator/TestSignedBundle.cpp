#include "LibOperator/SignedBundle.h"
#include "SampleBundle.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <ostream>
#include <sys/stat.h>
#include <unistd.h>

using namespace sorrelbay;

namespace {

/// The outcome of a step: accepted, or the error by which it failed.
template <typename Step> std::string outcomeOf(Step step) {
  try {
    step();
    return "accepted";
  } catch (const BundleUnsigned &) {
    return "unsigned";
  } catch (const BundleKeyUnknown &) {
    return "key unknown";
  } catch (const BundleSignatureWrong &) {
    return "signature wrong";
  } catch (const BundleTooLarge &) {
    return "too large";
  } catch (const BundleMalformed &) {
    return "malformed";
  }
}

struct TamperRow {
  const char *Outcome;
  std::function<void(SignedBundle &)> Tamper;
};

std::ostream &operator<<(std::ostream &out, const TamperRow &row) {
  return out << row.Outcome;
}

const TamperRow TamperRows[] = {
    {"accepted", [](SignedBundle &) {}},
    {"unsigned", [](SignedBundle &it) { it.Signature.clear(); }},
    {"key unknown",
     [](SignedBundle &it) { it.SignedBy = KeyId("0123456789abcdef"); }},
    {"signature wrong", [](SignedBundle &it) { it.Signature[5] ^= 1; }},
    {"signature wrong", [](SignedBundle &it) { it.Signature.resize(63); }},
    {"signature wrong", [](SignedBundle &it) { it.Payload[9] ^= 1; }},
    {"signature wrong",
     [](SignedBundle &it) { it.Payload = encodeBundle(sampleBundle(9)); }},
};

struct BytesRow {
  const char *Outcome;
  std::function<void(std::string &)> Tamper;
};

std::ostream &operator<<(std::ostream &out, const BytesRow &row) {
  return out << row.Outcome;
}

const BytesRow BytesRows[] = {
    {"accepted", [](std::string &) {}},
    {"malformed", [](std::string &it) { it.clear(); }},
    {"malformed", [](std::string &it) { it = "generation = 7"; }},
    {"malformed", [](std::string &it) { it.pop_back(); }},
    {"malformed", [](std::string &it) { it += it; }},
    {"unsigned", [](std::string &it) { it = encodeBundle(sampleBundle(3)); }},
    {"too large", [](std::string &it) { it.resize(MaxBundleBytes + 1); }},
};

/// A path whose file is removed at the start and at the end.
struct ScratchFile {
  std::string Path = "/tmp/sorrelbay-key-" + std::to_string(getpid());
  ScratchFile() { std::remove(Path.c_str()); }
  ~ScratchFile() { std::remove(Path.c_str()); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SignedBundleTests)

BOOST_AUTO_TEST_CASE(bundle_is_unchanged_by_its_codec) {
  const Bundle bundle = sampleBundle(7);
  BOOST_CHECK(decodeBundle(encodeBundle(bundle)) == bundle);
}

// An attacker in the network or a faulty peer alters a bundle, or sends one
// that no operator signed. A daemon that accepted it would send traffic to any
// address chosen by the attacker.
BOOST_DATA_TEST_CASE(only_signed_bundles_are_accepted,
                     boost::unit_test::data::make(TamperRows), row) {
  const SigningKey key = SigningKey::generate();
  SignedBundle bundle = signBundle(sampleBundle(7), key);
  row.Tamper(bundle);
  BOOST_CHECK_EQUAL(outcomeOf([&] { verifyBundle(bundle, {key.publicKey()}); }),
                    row.Outcome);
}

// Truncated, duplicated or unrelated bytes arrive where a signed bundle is
// expected. A decoder that accepted a part of them would put an incomplete
// bundle into force.
BOOST_DATA_TEST_CASE(only_complete_encodings_are_decoded,
                     boost::unit_test::data::make(BytesRows), row) {
  std::string bytes =
      encodeSignedBundle(signBundle(sampleBundle(7), SigningKey::generate()));
  row.Tamper(bytes);
  BOOST_CHECK_EQUAL(outcomeOf([&] { decodeSignedBundle(bytes); }), row.Outcome);
}

BOOST_AUTO_TEST_CASE(oversized_bundle_is_not_signed) {
  Bundle bundle = sampleBundle(7);
  bundle.Versions[0].Adapters.assign(MaxBundleBytes / 8, "long-name");
  const SigningKey key = SigningKey::generate();
  BOOST_CHECK_EQUAL(outcomeOf([&] { signBundle(bundle, key); }), "too large");
}

BOOST_AUTO_TEST_CASE(old_and_new_keys_are_accepted_during_rotation) {
  const SigningKey oldKey = SigningKey::generate();
  const SigningKey newKey = SigningKey::generate();
  const std::vector<PublicKey> accepted{oldKey.publicKey(), newKey.publicKey()};
  BOOST_CHECK(verifyBundle(signBundle(sampleBundle(7), oldKey), accepted) ==
              sampleBundle(7));
  BOOST_CHECK(verifyBundle(signBundle(sampleBundle(8), newKey), accepted) ==
              sampleBundle(8));
}

BOOST_AUTO_TEST_CASE(saved_key_can_be_loaded_and_is_not_overwritten) {
  const ScratchFile file;
  const SigningKey key = SigningKey::generate();
  key.save(file.Path);
  struct stat status {};
  BOOST_REQUIRE_EQUAL(stat(file.Path.c_str(), &status), 0);
  BOOST_CHECK_EQUAL(status.st_mode & 0777, 0600);
  BOOST_CHECK(SigningKey::load(file.Path).publicKey() == key.publicKey());
  BOOST_CHECK_THROW(key.save(file.Path), KeyUnusable);
}

// A key file is copied with too wide permissions. Every user of the machine
// could then sign bundles that all daemons accept.
BOOST_AUTO_TEST_CASE(key_that_others_may_read_is_refused) {
  const ScratchFile file;
  SigningKey::generate().save(file.Path);
  BOOST_REQUIRE_EQUAL(chmod(file.Path.c_str(), 0640), 0);
  BOOST_CHECK_THROW(SigningKey::load(file.Path), KeyExposed);
}

BOOST_AUTO_TEST_CASE(public_key_text_is_checked) {
  BOOST_CHECK_THROW(PublicKey::parse("abc"), KeyUnusable);
  BOOST_CHECK_THROW(PublicKey::parse(std::string(64, 'g')), KeyUnusable);
  const PublicKey key = SigningKey::generate().publicKey();
  BOOST_CHECK(PublicKey::parse(key.hex()) == key);
}

BOOST_AUTO_TEST_SUITE_END()
