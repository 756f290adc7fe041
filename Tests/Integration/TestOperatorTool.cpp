#include "Deployment.h"
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace sorrelbay;

namespace {

/// A command line, in which PLATFORM and FOLDER are replaced, with its expected
/// exit code and a part of its output.
struct ToolRow {
  const char *Name;
  std::vector<std::string> Arguments;
  int ExitCode;
  const char *Output;
};

/// Rows run in this order; each depends on those before it.
const ToolRow ToolRows[] = {
    {"version", {"--version"}, 0, "sorrelbay 0."},
    {"help", {"bundle", "--help"}, 0, "roll"},
    {"no command", {}, 2, "subcommand"},
    {"missing option", {"status"}, 2, "--platform is required"},
    {"valid bundle", {"bundle", "check", "FOLDER/good1"}, 0, ""},
    {"bundle with faults",
     {"bundle", "check", "FOLDER/bad"},
     2,
     "bad:1: generation: must be from 1"},
    {"no such file", {"bundle", "check", "FOLDER/none"}, 2, "can't be read"},
    {"key", {"keys", "generate", "--out", "FOLDER/key"}, 0, ""},
    {"key exists", {"keys", "generate", "--out", "FOLDER/key"}, 2, "exists"},
    {"sign 2",
     {"bundle", "sign", "FOLDER/good2", "--key", "FOLDER/key", "--out",
      "FOLDER/signed2"},
     0,
     ""},
    {"sign 1",
     {"bundle", "sign", "FOLDER/good1", "--key", "FOLDER/key", "--out",
      "FOLDER/signed1"},
     0,
     ""},
    {"key readable by others",
     {"bundle", "sign", "FOLDER/good1", "--key", "FOLDER/lax", "--out",
      "FOLDER/no"},
     2,
     "0600"},
    {"no status yet",
     {"status", "--platform", "PLATFORM"},
     0,
     "no bundle is current"},
    {"roll an unsigned bundle",
     {"bundle", "roll", "FOLDER/good1", "--platform", "PLATFORM"},
     2,
     "can't be decoded"},
    {"roll",
     {"bundle", "roll", "FOLDER/signed2", "--platform", "PLATFORM"},
     0,
     ""},
    {"roll again",
     {"bundle", "roll", "FOLDER/signed2", "--platform", "PLATFORM"},
     0,
     ""},
    {"roll an older one",
     {"bundle", "roll", "FOLDER/signed1", "--platform", "PLATFORM"},
     3,
     "generation 2 signed by key"},
    {"platform unreachable",
     {"bundle", "roll", "FOLDER/signed2", "--platform", "127.0.0.1:1"},
     4,
     ""},
    {"status as JSON",
     {"status", "--json", "--platform", "PLATFORM"},
     0,
     "{\"bundle\":{\"generation\":2,"},
    {"watch without rollouts",
     {"status", "--watch", "--platform", "PLATFORM"},
     0,
     "generation 2"},
};

struct ToolFixture {
  Deployment All;
  std::filesystem::path Folder;

  ToolFixture() {
    char pattern[] = "/tmp/sorrelbay-tool-XXXXXX";
    Folder = mkdtemp(pattern);
    write("good1", standardBundle(1, SingleVersionToml));
    write("good2", standardBundle(2, SingleVersionToml));
    write("bad", "generation = 0\n");
    write("lax", "not a key");
    std::filesystem::permissions(Folder / "lax",
                                 std::filesystem::perms::others_read,
                                 std::filesystem::perm_options::add);
  }
  ~ToolFixture() { std::filesystem::remove_all(Folder); }

  void write(const char *name, const std::string &text) const {
    std::ofstream(Folder / name) << text;
  }
  std::string withPathsReplaced(std::string text) const {
    const auto replace = [&text](const std::string &old,
                                 const std::string &with) {
      const std::size_t at = text.find(old);
      if (at != std::string::npos)
        text.replace(at, old.size(), with);
    };
    replace("PLATFORM", All.platform());
    replace("FOLDER", Folder.string());
    return text;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorTool)

BOOST_FIXTURE_TEST_CASE(exit_codes_and_output_are_as_documented, ToolFixture) {
  int n = 0;
  for (const ToolRow &row : ToolRows) {
    BOOST_TEST_CONTEXT(row.Name) {
      std::vector<std::string> arguments;
      for (const std::string &it : row.Arguments)
        arguments.push_back(withPathsReplaced(it));
      const std::string log = Folder / ("log" + std::to_string(n++));
      ChildProcess tool("sorrelbay", arguments, log);
      BOOST_TEST(tool.wait() == row.ExitCode);
      BOOST_TEST(tool.hasLogged(row.Output));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
