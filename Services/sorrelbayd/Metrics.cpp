#include "Metrics.h"
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace sorrelbay {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

static const prometheus::Histogram::BucketBoundaries FirstTokenBounds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.55, 0.8, 1.5, 3, 10};

struct Metrics::Families {
  prometheus::Registry Registry;
  Family<Counter> &Calls;
  Family<Counter> &Attempts;
  Family<Counter> &ObjectApi;
  Family<Counter> &RefusedEntries;
  Family<Histogram> &FirstToken;
  Family<Histogram> &ExpectedFirstToken;
  Family<Gauge> &Replicas;
  Family<Gauge> &EngineDemand;
  Family<Gauge> &ShortDemand;
  Family<Gauge> &ReservedEngines;
  Family<Counter> &Dropped;
  Family<Counter> &Statements;
  Family<Counter> &IgnoredInput;
  Family<Counter> &UpstreamConnects;
  Family<Counter> &RelayedCalls;
  Family<Counter> &Responses;
  Family<Counter> &UpstreamCrashes;
  Family<Counter> &QuarantineChanges;
  Family<Gauge> &Quarantines;
  Family<Gauge> &OperatorRequests;
  Family<Counter> &TeamUnits;
  Family<Gauge> &Waiting;
  Family<Histogram> &Waits;
  Family<Counter> &WaitRefusals;
  Family<Gauge> &UpstreamLoads;
  Family<Counter> &FleetMessages;
  Family<Counter> &FleetBytes;
  Family<Counter> &FleetWork;
  Counter &Tokens;
  Counter &Resumes;
  Counter &Recomputed;
  Gauge &Open;
  Gauge &Generation;
  Gauge &PeerLinks;
  Counter &PeerWrongHellos;
  Counter &PeerRefusedBundles;
  Counter &PeerSilentLinks;

  Families();
};

static Family<Counter> &counterFamily(prometheus::Registry &registry,
                                      const char *name, const char *help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

static Gauge &gauge(prometheus::Registry &registry, const char *name,
                    const char *help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

Metrics::Families::Families()
    : Calls(counterFamily(Registry, "sorrelbay_calls_total",
                          "Calls by route and result.")),
      Attempts(counterFamily(Registry, "sorrelbay_upstream_attempts_total",
                             "Attempts at upstreams by service and result.")),
      ObjectApi(counterFamily(Registry, "sorrelbay_object_api_calls_total",
                              "Calls of the object API by kind and result.")),
      RefusedEntries(
          counterFamily(Registry, "sorrelbay_refused_entries_total",
                        "Entries of the store that can't be read or make no "
                        "sense, by kind.")),
      FirstToken(prometheus::BuildHistogram()
                     .Name("sorrelbay_first_token_seconds")
                     .Help("Time from arrival to the first token.")
                     .Register(Registry)),
      ExpectedFirstToken(
          prometheus::BuildHistogram()
              .Name("sorrelbay_expected_first_token_seconds")
              .Help("The same as it was expected when the call was sent.")
              .Register(Registry)),
      Replicas(prometheus::BuildGauge()
                   .Name("sorrelbay_replicas")
                   .Help("Replicas by service and state, at the holder of the "
                         "duties.")
                   .Register(Registry)),
      EngineDemand(
          prometheus::BuildGauge()
              .Name("sorrelbay_engine_demand_seconds")
              .Help("Engine time that callers request a second, by service.")
              .Register(Registry)),
      ShortDemand(prometheus::BuildGauge()
                      .Name("sorrelbay_short_prompt_demand_seconds")
                      .Help("Engine time that short prompts need a second, by "
                            "service.")
                      .Register(Registry)),
      ReservedEngines(
          prometheus::BuildGauge()
              .Name("sorrelbay_reserved_engines")
              .Help("Engines that are reserved for short prompts, by service.")
              .Register(Registry)),
      Dropped(counterFamily(Registry, "sorrelbay_dropped_arrivals_total",
                            "Arrivals from engines not taken, by cause.")),
      Statements(counterFamily(
          Registry, "sorrelbay_upstream_statements_total",
          "Statements of upstreams about themselves by kind and result.")),
      IgnoredInput(counterFamily(
          Registry, "sorrelbay_upstream_ignored_input_total",
          "Input from upstreams that belongs to no call, by kind.")),
      UpstreamConnects(
          counterFamily(Registry, "sorrelbay_upstream_connects_total",
                        "Attempts to open a connection to an upstream, by "
                        "service and result.")),
      RelayedCalls(counterFamily(Registry, "sorrelbay_relayed_calls_total",
                                 "Calls relayed between hosts, by direction "
                                 "and result.")),
      Responses(counterFamily(Registry, "sorrelbay_upstream_responses_total",
                              "Responses of upstreams, by what marks the end "
                              "of their body and by how they ended.")),
      UpstreamCrashes(counterFamily(Registry,
                                    "sorrelbay_upstream_crashes_total",
                                    "Crashes of upstreams that ended calls, by "
                                    "service and by how they showed.")),
      QuarantineChanges(counterFamily(Registry,
                                      "sorrelbay_quarantine_changes_total",
                                      "Changes of quarantines of prompts.")),
      Quarantines(prometheus::BuildGauge()
                      .Name("sorrelbay_quarantines")
                      .Help("Quarantines of prompts in force, by service.")
                      .Register(Registry)),
      OperatorRequests(prometheus::BuildGauge()
                           .Name("sorrelbay_operator_requests")
                           .Help("Requests of operators, by kind and by "
                                 "whether they are in force.")
                           .Register(Registry)),
      TeamUnits(counterFamily(Registry, "sorrelbay_team_units_total",
                              "Units of teams' calls by class and result: "
                              "requested, and of these admitted or refused.")),
      Waiting(prometheus::BuildGauge()
                  .Name("sorrelbay_waiting_calls")
                  .Help("Calls that wait for a place, by service.")
                  .Register(Registry)),
      Waits(prometheus::BuildHistogram()
                .Name("sorrelbay_wait_seconds")
                .Help("Waits for a place of calls that were then started.")
                .Register(Registry)),
      WaitRefusals(counterFamily(
          Registry, "sorrelbay_wait_refusals_total",
          "Calls refused for lack of a place, by service and cause.")),
      UpstreamLoads(prometheus::BuildGauge()
                        .Name("sorrelbay_upstream_loads")
                        .Help("Upstreams that are slow, or contradicted, by "
                              "what they state, by service and state.")
                        .Register(Registry)),
      FleetMessages(counterFamily(
          Registry, "sorrelbay_fleet_messages_total",
          "Messages between entry hosts, by direction and kind.")),
      FleetBytes(
          counterFamily(Registry, "sorrelbay_fleet_bytes_total",
                        "Bytes of these messages, by direction and kind.")),
      FleetWork(counterFamily(
          Registry, "sorrelbay_fleet_seconds_total",
          "Time spent on these messages: encode, decode and merge.")),
      Tokens(counterFamily(Registry, "sorrelbay_tokens_total",
                           "Tokens given to callers.")
                 .Add({})),
      Resumes(counterFamily(Registry, "sorrelbay_resumes_total",
                            "Answers that went on at another engine.")
                  .Add({})),
      Recomputed(counterFamily(Registry, "sorrelbay_recomputed_tokens_total",
                               "Tokens that resumes compute again.")
                     .Add({})),
      Open(gauge(Registry, "sorrelbay_open_calls", "Calls in flight.")),
      Generation(gauge(Registry, "sorrelbay_bundle_generation",
                       "Generation of the bundle in force.")),
      PeerLinks(gauge(Registry, "sorrelbay_peer_links",
                      "Peers with a live connection.")),
      PeerWrongHellos(counterFamily(Registry,
                                    "sorrelbay_peer_wrong_hellos_total",
                                    "Connections turned away at the hello.")
                          .Add({})),
      PeerRefusedBundles(counterFamily(Registry,
                                       "sorrelbay_peer_refused_bundles_total",
                                       "Bundles of peers that were refused.")
                             .Add({})),
      PeerSilentLinks(counterFamily(Registry,
                                    "sorrelbay_peer_silent_links_total",
                                    "Peer connections given up for silence.")
                          .Add({})) {}

Metrics::Metrics() : All(std::make_unique<Families>()) {}
Metrics::~Metrics() = default;

void Metrics::countCall(const std::string &route, const std::string &result) {
  All->Calls.Add({{"route", route}, {"result", result}}).Increment();
}

void Metrics::observeFirstToken(const std::string &route, Duration wait) {
  All->FirstToken.Add({{"route", route}}, FirstTokenBounds)
      .Observe(toSeconds(wait));
}

void Metrics::observeExpectedFirstToken(const std::string &route,
                                        Duration wait) {
  All->ExpectedFirstToken.Add({{"route", route}}, FirstTokenBounds)
      .Observe(toSeconds(wait));
}

void Metrics::setReplicas(const std::string &service, const std::string &state,
                          int count) {
  All->Replicas.Add({{"service", service}, {"state", state}}).Set(count);
}

void Metrics::setEngineDemand(const std::string &service,
                              double secondsPerSecond) {
  All->EngineDemand.Add({{"service", service}}).Set(secondsPerSecond);
}

void Metrics::setShortPrompts(const std::string &service,
                              double secondsPerSecond, int reservedEngines) {
  All->ShortDemand.Add({{"service", service}}).Set(secondsPerSecond);
  All->ReservedEngines.Add({{"service", service}}).Set(reservedEngines);
}

void Metrics::countTokens(std::uint64_t tokens) {
  All->Tokens.Increment(static_cast<double>(tokens));
}

void Metrics::countAttempt(const std::string &service,
                           const std::string &result) {
  All->Attempts.Add({{"service", service}, {"result", result}}).Increment();
}

void Metrics::countResume(std::uint64_t recomputedTokens) {
  All->Resumes.Increment();
  All->Recomputed.Increment(static_cast<double>(recomputedTokens));
}

void Metrics::countDropped(const std::string &cause, std::uint64_t n) {
  if (n > 0)
    All->Dropped.Add({{"cause", cause}}).Increment(static_cast<double>(n));
}

void Metrics::countUpstreamStatement(const std::string &statement,
                                     const std::string &result) {
  All->Statements.Add({{"statement", statement}, {"result", result}})
      .Increment();
}

void Metrics::countUpstreamConnect(const std::string &service,
                                   const std::string &result) {
  All->UpstreamConnects.Add({{"service", service}, {"result", result}})
      .Increment();
}

void Metrics::countRelayedCall(const std::string &direction,
                               const std::string &result) {
  All->RelayedCalls.Add({{"direction", direction}, {"result", result}})
      .Increment();
}

void Metrics::countResponse(const std::string &framing,
                            const std::string &end) {
  All->Responses.Add({{"framing", framing}, {"end", end}}).Increment();
}

void Metrics::countObjectApi(const std::string &call,
                             const std::string &result) {
  All->ObjectApi.Add({{"call", call}, {"result", result}}).Increment();
}

void Metrics::countRefusedEntry(const std::string &kind) {
  All->RefusedEntries.Add({{"kind", kind}}).Increment();
}

void Metrics::setOpenCalls(std::size_t n) {
  All->Open.Set(static_cast<double>(n));
}

void Metrics::setBundleGeneration(std::uint64_t generation) {
  All->Generation.Set(static_cast<double>(generation));
}

void Metrics::setWaitingCalls(const std::string &service, std::size_t n) {
  All->Waiting.Add({{"service", service}}).Set(static_cast<double>(n));
}

void Metrics::observeWait(const std::string &service, Duration waited) {
  All->Waits.Add({{"service", service}}, FirstTokenBounds)
      .Observe(toSeconds(waited));
}

void Metrics::countWaitRefusal(const std::string &service,
                               const std::string &cause) {
  All->WaitRefusals.Add({{"service", service}, {"cause", cause}}).Increment();
}

/// Raises the counter to a count that another component maintains.
static void raiseTo(Counter &counter, std::uint64_t count) {
  counter.Increment(static_cast<double>(count) - counter.Value());
}

void Metrics::countUpstreamCrash(const std::string &service,
                                 const std::string &manner) {
  All->UpstreamCrashes.Add({{"service", service}, {"manner", manner}})
      .Increment();
}

void Metrics::countQuarantineChange(const std::string &service,
                                    const std::string &change) {
  All->QuarantineChanges.Add({{"service", service}, {"change", change}})
      .Increment();
}

void Metrics::countTeamUnits(const std::string &team, int callClass,
                             std::int64_t units, bool isAdmitted) {
  for (const char *result : {"requested", isAdmitted ? "admitted" : "refused"})
    All->TeamUnits
        .Add({{"team", team},
              {"class", std::to_string(callClass)},
              {"result", result}})
        .Increment(static_cast<double>(units));
}

void Metrics::setUpstreamLoads(const std::string &service,
                               const std::string &state, int count) {
  All->UpstreamLoads.Add({{"service", service}, {"state", state}}).Set(count);
}

void Metrics::setQuarantines(const std::string &service, int count) {
  All->Quarantines.Add({{"service", service}}).Set(count);
}

void Metrics::setOperatorRequests(const std::string &kind,
                                  const std::string &effect, int count) {
  All->OperatorRequests.Add({{"kind", kind}, {"effect", effect}}).Set(count);
}

void Metrics::setUpstreamConnectionCounts(const HttpClientCounts &counts) {
  raiseTo(All->IgnoredInput.Add({{"kind", "late_response"}}),
          counts.LateResponses);
  raiseTo(All->IgnoredInput.Add({{"kind", "unexpected_input"}}),
          counts.UnexpectedInput);
  raiseTo(All->IgnoredInput.Add({{"kind", "malformed_keep_alive"}}),
          counts.MalformedKeepAlives);
  raiseTo(All->IgnoredInput.Add({{"kind", "malformed_head"}}),
          counts.MalformedHeads);
}

void Metrics::setPeerCounts(const MeshCounts &counts) {
  All->PeerLinks.Set(static_cast<double>(counts.LiveLinks));
  raiseTo(All->PeerWrongHellos, counts.HandshakeFailures);
  raiseTo(All->PeerRefusedBundles, counts.RefusedBundles);
  raiseTo(All->PeerSilentLinks, counts.SilenceTimeouts);
}

void Metrics::setFleetCost(const FleetCost &cost) {
  for (std::size_t n = 0; n < FleetMessageKindCount; ++n) {
    const std::string kind = toText(static_cast<FleetMessageKind>(n));
    for (const auto &[direction, traffic] :
         {std::pair("sent", cost.Sent[n]),
          std::pair("received", cost.Received[n])}) {
      const prometheus::Labels labels{{"direction", direction}, {"kind", kind}};
      raiseTo(All->FleetMessages.Add(labels),
              static_cast<std::uint64_t>(traffic.Messages));
      raiseTo(All->FleetBytes.Add(labels),
              static_cast<std::uint64_t>(traffic.Bytes));
    }
  }
  for (const auto &[work, spent] :
       {std::pair("encode", cost.Encoding), std::pair("decode", cost.Decoding),
        std::pair("merge", cost.Merging)}) {
    Counter &counter = All->FleetWork.Add({{"work", work}});
    counter.Increment(toSeconds(spent) - counter.Value());
  }
}

std::string Metrics::render() const {
  return prometheus::TextSerializer().Serialize(All->Registry.Collect());
}

} // namespace sorrelbay
