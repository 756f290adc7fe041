#include "Commands.h"
#include "LibHttp/AsyncHttpClient.h"
#include "LibObjectApi/ObjectApi.h"
#include "LibOperator/QuarantineObject.h"
#include "platform/StoreClient.h"
#include <boost/asio/io_context.hpp>
#include <iostream>

namespace sorrelbay {

namespace {

/// Attempts to release a part while daemons write at the same time.
constexpr int MaxReleaseAttempts = 5;

struct QuarantineOptions {
  std::string Store;
  std::string Part;
};

/// The platform's store, one call at a time.
class BlockingStore {
public:
  explicit BlockingStore(const std::string &address)
      : Store(platform::makeStoreClient(Loop,
                                        std::make_shared<AsyncHttpClient>(Loop),
                                        address, PlatformTimeout, Duration())) {
  }

  StoreResult<Resource> read() {
    return await([this](const StoreCallback<Resource> &done) {
      Store.Read(ResourceKind::Quarantines, QuarantineObjectName, done);
    });
  }

  StoreResult<Resource> replace(const Resource &object) {
    return await([&](const StoreCallback<Resource> &done) {
      Store.Replace(ResourceKind::Quarantines, object, done);
    });
  }

private:
  StoreResult<Resource>
  await(const std::function<void(const StoreCallback<Resource> &)> &begin) {
    std::optional<StoreResult<Resource>> out;
    begin([&out](const StoreResult<Resource> &result) { out = result; });
    Loop.restart();
    while (!out && Loop.run_one() != 0) {
    }
    return out.value_or(StoreResult<Resource>{});
  }

  boost::asio::io_context Loop;
  ResourceStore Store;
};

/// Reads the quarantines into the object; empty if there have never been any.
CrashKnowledge readQuarantines(BlockingStore &store, Resource &object) {
  const StoreResult<Resource> result = store.read();
  if (!result.Got && result.Failure == StoreFailure::Missing)
    return {};
  if (!result.Got)
    throw ObjectApiUnavailable("the store does not answer");
  object = *result.Got;
  return parseQuarantineObject(object.Body);
}

void listQuarantines(const QuarantineOptions &options) {
  BlockingStore store(options.Store);
  Resource object;
  std::cout << renderQuarantineTable(readQuarantines(store, object).Quarantines,
                                     now());
}

ExitCode releaseQuarantine(const QuarantineOptions &options) {
  BlockingStore store(options.Store);
  for (int n = 0; n < MaxReleaseAttempts; ++n) {
    Resource object;
    CrashKnowledge stored = readQuarantines(store, object);
    if (releaseQuarantines(stored.Quarantines, options.Part, now()) == 0) {
      std::cerr << "sorrelbay: no quarantine in force names " << options.Part
                << '\n';
      return ExitCode::NotFound;
    }
    object.Body = renderQuarantineObject(stored);
    const StoreResult<Resource> result = store.replace(object);
    if (result.Got)
      return ExitCode::Success;
    if (result.Failure == StoreFailure::Unavailable)
      throw ObjectApiUnavailable("the store does not answer");
    // Otherwise a daemon has written meanwhile, or the outcome is unknown.
  }
  throw ObjectApiUnavailable("the quarantines change all the time");
}

void addStoreOption(CLI::App &command, QuarantineOptions &options) {
  command
      .add_option("--store", options.Store, "The platform's store, as IP:PORT")
      ->required();
}

} // namespace

void addQuarantine(CLI::App &parent, ExitCode &exitCode) {
  auto options = std::make_shared<QuarantineOptions>();
  CLI::App *quarantine = parent.add_subcommand(
      "quarantine", "List and release parts of prompts that crash upstreams");
  quarantine->require_subcommand(1);
  CLI::App *list =
      quarantine->add_subcommand("list", "Show the quarantined parts");
  addStoreOption(*list, *options);
  list->callback([options] { listQuarantines(*options); });
  CLI::App *release =
      quarantine->add_subcommand("release", "Send calls with a part again");
  release->add_option("PART", options->Part, "The part's id")->required();
  addStoreOption(*release, *options);
  release->callback(
      [options, &exitCode] { exitCode = releaseQuarantine(*options); });
}

} // namespace sorrelbay
