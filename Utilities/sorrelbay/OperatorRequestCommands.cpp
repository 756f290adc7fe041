#include "BlockingStore.h"
#include "Commands.h"
#include "LibOperator/OperatorRequestsObject.h"
#include <iostream>

namespace sorrelbay {

namespace {

/// Longer holds are likely to be forgotten.
constexpr int MaxHoldSeconds = 30 * 24 * 3600;

struct RequestOptions {
  std::string Store;
  std::string Kind;
  std::string Name;
  std::string By = "unknown";
  /// Zero for a hold that lasts until it is released.
  int ForSeconds = 0;
  int Weight = DefaultTeamWeight;
};

OperatorRequests parseOrNone(const std::string &body) {
  return body.empty() ? OperatorRequests{} : parseOperatorRequests(body);
}

/// Changes the stored requests; returns whether there was something to change.
bool changeRequests(const RequestOptions &options,
                    const std::function<void(OperatorRequests &)> &change) {
  const auto edit = [&](const std::string &body) -> std::optional<std::string> {
    const OperatorRequests stored = parseOrNone(body);
    OperatorRequests changed = stored;
    change(changed);
    if (changed == stored)
      return std::nullopt;
    dropEndedRequests(changed, now());
    return renderOperatorRequests(changed);
  };
  return BlockingStore(options.Store)
      .update(ResourceKind::Quarantines, OperatorRequestsName, edit);
}

void hold(const RequestOptions &options) {
  OperatorHold request;
  request.By = options.By;
  // Computed once, so that a repeated write is the same request.
  if (options.ForSeconds != 0)
    request.Until = fromEpochMilliseconds(
        toEpochMilliseconds(now() + seconds(options.ForSeconds)));
  changeRequests(options, [&](OperatorRequests &requests) {
    if (options.Kind == "upstream")
      requests.Upstreams[UpstreamId(options.Name)] = request;
    else
      requests.Hosts[HostId(options.Name)] = request;
  });
}

ExitCode release(const RequestOptions &options) {
  const bool wasHeld = changeRequests(options, [&](OperatorRequests &requests) {
    if (options.Kind == "upstream")
      requests.Upstreams.erase(UpstreamId(options.Name));
    else
      requests.Hosts.erase(HostId(options.Name));
  });
  if (wasHeld)
    return ExitCode::Success;
  std::cerr << "sorrelbay: the " << options.Kind << ' ' << options.Name
            << " is not held\n";
  return ExitCode::NotFound;
}

void setWeight(const RequestOptions &options) {
  changeRequests(options, [&](OperatorRequests &requests) {
    if (options.Weight == DefaultTeamWeight)
      requests.TeamWeights.erase(TeamId(options.Name));
    else
      requests.TeamWeights[TeamId(options.Name)] = options.Weight;
  });
}

void listRequests(const RequestOptions &options) {
  const auto object =
      BlockingStore(options.Store)
          .read(ResourceKind::Quarantines, OperatorRequestsName);
  std::cout << renderOperatorRequestsTable(
      parseOrNone(object ? object->Body : ""), now());
}

void addStoreOption(CLI::App &command, RequestOptions &options) {
  command
      .add_option("--store", options.Store, "The platform's store, as IP:PORT")
      ->required();
}

void addTarget(CLI::App &command, RequestOptions &options) {
  command.add_option("KIND", options.Kind, "upstream or host")
      ->required()
      ->check(CLI::IsMember({"upstream", "host"}));
  command.add_option("NAME", options.Name, "Its id or name")->required();
  addStoreOption(command, options);
}

} // namespace

void addOperatorRequests(CLI::App &parent, ExitCode &exitCode) {
  auto options = std::make_shared<RequestOptions>();
  CLI::App *holding = parent.add_subcommand(
      "hold", "Send nothing new to an upstream, or no callers to a host");
  addTarget(*holding, *options);
  holding
      ->add_option("--for", options->ForSeconds,
                   "End the hold after so many seconds")
      ->check(CLI::Range(1, MaxHoldSeconds));
  holding->add_option("--by", options->By, "Who holds it")->envname("USER");
  holding->callback([options] { hold(*options); });
  CLI::App *releasing = parent.add_subcommand("release", "End a hold");
  addTarget(*releasing, *options);
  releasing->callback([options, &exitCode] { exitCode = release(*options); });
  CLI::App *team = parent.add_subcommand("team", "Set the weight of a team");
  team->require_subcommand(1);
  CLI::App *weight = team->add_subcommand(
      "weight", "Set a team's part of capacity that teams compete for");
  weight->add_option("NAME", options->Name, "The team")->required();
  weight->add_option("N", options->Weight, "Its weight; 1 for none")
      ->required()
      ->check(CLI::Range(MinTeamWeight, MaxTeamWeight));
  addStoreOption(*weight, *options);
  weight->callback([options] { setWeight(*options); });
  CLI::App *requests =
      parent.add_subcommand("requests", "List the requests of operators");
  addStoreOption(*requests, *options);
  requests->callback([options] { listRequests(*options); });
}

} // namespace sorrelbay
