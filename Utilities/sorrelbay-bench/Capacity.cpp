#include "Experiment.h"
#include "LibBase/Hash.h"
#include "LibDecision/LedgerCodec.h"
#include "LibDecision/Placement.h"
#include "LibDecision/TicketTable.h"
#include "LibHostList/HostList.h"
#include "LibOperator/BundleCodec.h"
#include "LibOperator/SignedBundle.h"
#include "LibServing/ReplicaTable.h"
#include "Slope.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

namespace {

constexpr std::size_t ReplicaCounts[] = {10, 100, 500, 2000};
constexpr std::size_t EntryCounts[] = {10, 100, 1000};
constexpr std::size_t VersionCounts[] = {4, 40, 400};
constexpr int Calls = 200;

std::string addressOf(std::size_t n) {
  return "10." + std::to_string(n / 65536 % 256) + "." +
         std::to_string(n / 256 % 256) + "." + std::to_string(n % 256) +
         ":8000";
}

std::vector<UpstreamState> makeUpstreams(std::size_t count) {
  std::vector<UpstreamState> out;
  out.reserve(count);
  for (std::size_t n = 0; n < count; ++n) {
    UpstreamState it;
    it.Id = UpstreamId(addressOf(n));
    it.OfService = ServiceId("model");
    it.OfVersion = VersionId("model-" + std::to_string(n % 2));
    it.InZone = ZoneId("zone-" + std::to_string(n % 4));
    it.ReportedOpenCalls = static_cast<int>(stableHash(it.Id.text()) % 20);
    out.push_back(it);
  }
  return out;
}

/// Measures the placement of one call, and the memory that the daemon holds per
/// replica.
void addPlacement(std::vector<Figure> &figures) {
  for (const std::size_t count : ReplicaCounts) {
    std::vector<UpstreamState> upstreams;
    const double bytes = heapGrowth([&] { upstreams = makeUpstreams(count); });
    Placement placement;
    PlacementRequest request;
    request.ForService = ServiceId("model");
    request.AllowedVersion = VersionId("model-1");
    request.PromptTokens = 400;
    request.OwnZone = ZoneId("zone-1");
    const Instant at = now();
    const auto choose = [&](int n) {
      request.Seed = static_cast<std::uint64_t>(n);
      const PlacementChoice choice = placement.choose(upstreams, request, at);
      placement.noteSent(*choice.Upstream, request, choice.CachedTokens, at);
    };
    addTimePerCall(figures, "model calls", "choose an upstream",
                   {"replicas", count}, microsecondsPerCall(Calls, choose));
    addBytes(figures, "model calls", "an upstream's state", {"replicas", count},
             bytes / static_cast<double>(count));
  }
}

/// Measures the placement of one prompt on the platform's path.
void addPromptPlacement(std::vector<Figure> &figures) {
  const ServiceId service("model");
  const Instant at = now();
  for (const std::size_t count : ReplicaCounts) {
    ReplicaTable table;
    for (std::size_t n = 0; n < count; ++n) {
      ReplicaRecord record;
      record.Id = UpstreamId(addressOf(n));
      record.OfService = service;
      record.InZone = ZoneId("zone-" + std::to_string(n % 4));
      table.note(record, at);
    }
    ReplicaRequest request;
    request.ForService = service;
    request.PromptTokens = 9000;
    const auto place = [&](int n) {
      request.Prompt = {{"shared", 2500},
                        {"conversation" + std::to_string(n % 50), 3500},
                        {"own", 3000}};
      const auto choice = table.choose(request, at);
      table.noteSent(choice->Id, {choice->TokensToPrefill, 9000}, at);
      table.notePrompt(choice->Id, request.Prompt, at);
    };
    addTimePerCall(figures, "prompts", "place a prompt", {"replicas", count},
                   microsecondsPerCall(Calls, place));
  }
}

/// Measures the parsing of a region's host list, which the daemon repeats at
/// each poll.
void addHostList(std::vector<Figure> &figures) {
  for (const std::size_t count : ReplicaCounts) {
    nlohmann::json list = nlohmann::json::array();
    for (std::size_t n = 0; n < count; ++n)
      list.push_back({{"address", addressOf(n)},
                      {"role", "engine"},
                      {"zone", "zone-1"},
                      {"service", "model"},
                      {"version", "model-1"}});
    const std::string text = list.dump();
    const auto parse = [&](int) { parseHostList(text); };
    addTimePerCall(figures, "membership", "parse a host list",
                   {"replicas", count}, microsecondsPerCall(20, parse));
    addBytes(figures, "membership", "a host list entry on the wire",
             {"replicas", count},
             static_cast<double>(text.size()) / static_cast<double>(count));
  }
}

LedgerEdit intentOf(std::size_t n) {
  LedgerEdit edit;
  edit.Kind = EditKind::PutIntent;
  edit.Call = {TeamId("crew-leads"),
               IdempotencyKey("visit-" + std::to_string(n))};
  edit.Attempt = 1;
  edit.Owner = IncarnationId("0123456789abcdef");
  edit.Nonce = n;
  return edit;
}

/// Measures the write of one intent, which decodes, edits and encodes the
/// bucket.
void addLedger(std::vector<Figure> &figures) {
  const LedgerLimits limits;
  for (const std::size_t count : EntryCounts) {
    LedgerBucket bucket;
    const Instant at = now();
    for (std::size_t n = 0; n < count; ++n)
      bucket.apply(intentOf(n), limits, at);
    const std::string body = encodeBucket(bucket);
    const auto update = [&](int n) {
      LedgerBucket copy = decodeBucket(body);
      copy.apply(intentOf(count + static_cast<std::size_t>(n)), limits, at);
      encodeBucket(copy);
    };
    addTimePerCall(figures, "ledger", "put an intent into a bucket",
                   {"entries", count}, microsecondsPerCall(20, update));
    addBytes(figures, "ledger", "an entry of a bucket", {"entries", count},
             static_cast<double>(body.size()) / static_cast<double>(count));
  }
}

void addTickets(std::vector<Figure> &figures) {
  for (const std::size_t count : EntryCounts) {
    TicketTable table(IncarnationId("0123456789abcdef"), LedgerLimits());
    const Instant at = now();
    const auto run = [&](int n) {
      LedgerEdit edit = intentOf(static_cast<std::size_t>(n));
      table.apply(edit, at);
    };
    const double bytes = heapGrowth([&] {
      for (std::size_t n = 0; n < count; ++n)
        run(static_cast<int>(n));
    });
    addBytes(figures, "tickets", "a call of a ticket in memory",
             {"entries", count}, bytes / static_cast<double>(count));
    addTimePerCall(figures, "tickets", "run a call of a ticket",
                   {"entries", count}, microsecondsPerCall(Calls, [&](int n) {
                     run(n + static_cast<int>(count));
                   }));
  }
}

/// Measures the verification of a bundle by the number of its versions, which
/// each daemon repeats at each change of the bundle.
void addBundles(std::vector<Figure> &figures) {
  const SigningKey key = SigningKey::generate();
  for (const std::size_t count : VersionCounts) {
    Bundle bundle;
    bundle.Generation = 7;
    for (std::size_t n = 0; n < count; ++n) {
      const std::string name = std::to_string(n / 2);
      if (n % 2 == 0) {
        bundle.Services.push_back({ServiceId("model-" + name),
                                   UpstreamKind::Engine, DeadlinePolicy::Safe});
        bundle.Routes.push_back({RouteId("chat-" + name),
                                 ServiceId("model-" + name), true, 0,
                                 milliseconds(550), milliseconds(74)});
      }
      UpstreamVersion version;
      version.Id = VersionId("model-" + name + "-v" + std::to_string(n % 2));
      version.Service = ServiceId("model-" + name);
      version.Share = 0.5;
      bundle.Versions.push_back(version);
    }
    const SignedBundle signedBundle = signBundle(bundle, key);
    const std::string bytes = encodeSignedBundle(signedBundle);
    const auto verify = [&](int) {
      verifyBundle(decodeSignedBundle(bytes), {key.publicKey()});
    };
    addTimePerCall(figures, "bundles", "verify and decode a bundle",
                   {"versions", count}, microsecondsPerCall(20, verify));
    addBytes(figures, "bundles", "a version with its part of the rest",
             {"versions", count},
             static_cast<double>(bytes.size()) / static_cast<double>(count));
  }
}

std::vector<Figure> run(const ExperimentOptions &options) {
  std::vector<Figure> figures;
  const auto repeats = std::max<std::uint64_t>(1, options.Seeds);
  for (std::uint64_t n = 0; n < repeats; ++n) {
    addPlacement(figures);
    addPromptPlacement(figures);
    addHostList(figures);
    addLedger(figures);
    addTickets(figures);
    addBundles(figures);
  }
  return figures;
}

} // namespace

Experiment capacityExperiment() {
  return {"capacity",
          "time and memory of each role at several sizes, for docs/CAPACITY.md",
          run};
}

} // namespace sorrelbay
