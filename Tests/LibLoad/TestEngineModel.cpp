#include "LibLoad/EngineModel.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <ostream>
#include <random>

using namespace sorrelbay;

namespace {

const UpstreamId Usual("usual");
const UpstreamId Other("other");

/// The real speed of an engine, in milliseconds.
struct Engine {
  const char *Name;
  double Base;
  double PerToken;
};

std::ostream &operator<<(std::ostream &out, const Engine &it) {
  return out << it.Name;
}

const Engine Engines[] = {
    {"fast", 20, 0.0018},
    {"usual", 53, 0.007},
    {"slow", 45, 0.026},
    {"four times slower still", 160, 0.1},
};

/// Adds `count` first tokens to the model, of prompts of random sizes.
void addFirstTokens(EngineModel &model, const UpstreamId &upstream,
                    const Engine &engine, int count, Instant &now) {
  std::mt19937_64 random(7);
  std::uniform_int_distribution<std::int64_t> size(50, 9000);
  std::normal_distribution<double> noise(1, 0.15);
  for (int n = 0; n < count; ++n, now += milliseconds(50)) {
    const std::int64_t tokens = size(random);
    const double took =
        noise(random) *
        (engine.Base + engine.PerToken * static_cast<double>(tokens));
    model.note(upstream, {tokens, fromSeconds(took / 1000)}, now);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_model)

// The engines of a service are replaced by another type. With estimates that
// fit the old type, calls go to engines that have seconds of prefill queued.
BOOST_DATA_TEST_CASE(each_type_of_engine_is_learned,
                     boost::unit_test::data::make(Engines), engine) {
  EngineModel model;
  Instant now{seconds(100)};
  BOOST_TEST(!model.hasEnoughSamples());
  addFirstTokens(model, Usual, engine, 150, now);
  BOOST_TEST(model.hasEnoughSamples());
  const double expected = engine.PerToken * 5000;
  BOOST_TEST(model.prefillTime(5000) > 0.8 * expected);
  BOOST_TEST(model.prefillTime(5000) < 1.2 * expected);
  BOOST_TEST(model.slownessOf(Usual, now) > 0.75);
  BOOST_TEST(model.slownessOf(Usual, now) < 1.3);
}

// One of many replicas becomes five times slower. Calls that are still sent
// there are all late, while other replicas are idle.
BOOST_AUTO_TEST_CASE(one_slow_upstream_is_distinguished_from_the_others) {
  EngineModel model;
  Instant now{seconds(100)};
  addFirstTokens(model, Usual, Engines[1], 100, now);
  const double before = model.prefillTime(5000);
  addFirstTokens(model, Other, {"slowed", 265, 0.035}, 6, now);
  BOOST_TEST(model.slownessOf(Other, now) > 2);
  BOOST_TEST(model.slownessOf(Usual, now) < 1.3);
  BOOST_TEST(model.prefillTime(5000) < 2 * before);
  // The measured slowness decays, so that the upstream gets calls again.
  now += seconds(30);
  BOOST_TEST(model.slownessOf(Other, now) < 1.2);
}

BOOST_AUTO_TEST_CASE(an_engine_that_slows_down_is_learned_anew) {
  EngineModel model;
  Instant now{seconds(100)};
  addFirstTokens(model, Usual, Engines[1], 300, now);
  addFirstTokens(model, Usual, Engines[2], 400, now);
  BOOST_TEST(model.prefillTime(5000) > 0.75 * Engines[2].PerToken * 5000);
}

BOOST_AUTO_TEST_CASE(impossible_observations_are_ignored) {
  EngineModel model;
  Instant now{seconds(100)};
  addFirstTokens(model, Usual, Engines[1], 50, now);
  const double before = model.prefillTime(5000);
  model.note(Usual, {-5, milliseconds(100)}, now);
  model.note(Usual, {std::numeric_limits<std::int64_t>::max(), seconds(1)},
             now);
  model.note(Usual, {100, seconds(-3)}, now);
  model.note(Usual, {100, hours(7)}, now);
  BOOST_TEST(model.prefillTime(5000) == before);
  // Times that do not grow with the prompt still give a speed within its
  // bounds.
  for (int n = 0; n < 500; ++n)
    model.note(Usual, {9000 - n * 10, milliseconds(n * 20)}, now);
  BOOST_TEST(model.prefillTime(1) > 0);
  BOOST_TEST(model.slownessOf(Usual, now) <= 8);
}

BOOST_AUTO_TEST_SUITE_END()
