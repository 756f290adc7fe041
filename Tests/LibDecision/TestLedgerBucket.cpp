#include "LibDecision/BucketUpdater.h"
#include "LibDecision/LedgerCodec.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;
namespace data = boost::unit_test::data;

static const Instant Start{hours(1)};

static LedgerEdit makeEdit(EditKind kind, CallAttempt attempt,
                           std::uint64_t nonce,
                           const std::string &key = "booking-1") {
  LedgerEdit edit;
  edit.Kind = kind;
  edit.Call = {TeamId("north"), IdempotencyKey(key)};
  edit.Attempt = attempt;
  edit.Owner = IncarnationId("host-a");
  edit.Nonce = nonce;
  edit.Status = 201;
  edit.Answer = "{\"crew\":7}";
  return edit;
}

struct RuleRow {
  const char *Name;
  std::vector<LedgerEdit> Before;
  LedgerEdit Edit;
  EditVerdict Verdict;
  bool HasChanged;
};

static std::ostream &operator<<(std::ostream &out, const RuleRow &row) {
  return out << row.Name;
}

static constexpr EditKind Intent = EditKind::PutIntent;
static constexpr EditKind Result = EditKind::PutResult;
static constexpr EditKind Close = EditKind::Close;

static const RuleRow RuleRows[] = {
    {"first intent", {}, makeEdit(Intent, 1, 1), EditVerdict::Accepted, true},
    {"own intent again",
     {makeEdit(Intent, 1, 1)},
     makeEdit(Intent, 1, 1),
     EditVerdict::Accepted,
     false},
    {"intent against another's",
     {makeEdit(Intent, 1, 1)},
     makeEdit(Intent, 2, 2),
     EditVerdict::HeldByOther,
     false},
    {"intent after the result",
     {makeEdit(Intent, 1, 1), makeEdit(Result, 1, 1)},
     makeEdit(Intent, 2, 2),
     EditVerdict::AlreadyDone,
     false},
    {"late intent under a closed mark",
     {makeEdit(Close, 2, 2)},
     makeEdit(Intent, 1, 1),
     EditVerdict::NotRun,
     false},
    {"intent above a closed mark",
     {makeEdit(Close, 2, 2)},
     makeEdit(Intent, 3, 3),
     EditVerdict::Accepted,
     true},
    {"undeclared intent under a closed mark",
     {makeEdit(Close, 2, 2)},
     makeEdit(Intent, UndeclaredAttempt, 3),
     EditVerdict::NotRun,
     true},
    {"close of a new call",
     {},
     makeEdit(Close, 2, 2),
     EditVerdict::NotRun,
     true},
    {"close under a higher mark",
     {makeEdit(Close, 3, 3)},
     makeEdit(Close, 2, 2),
     EditVerdict::NotRun,
     false},
    {"close of another's intent",
     {makeEdit(Intent, 1, 1)},
     makeEdit(Close, 2, 2),
     EditVerdict::HeldByOther,
     false},
    {"close of the own intent",
     {makeEdit(Intent, 1, 1)},
     makeEdit(Close, 1, 1),
     EditVerdict::NotRun,
     true},
    {"close after the result",
     {makeEdit(Intent, 1, 1), makeEdit(Result, 1, 1)},
     makeEdit(Close, 2, 2),
     EditVerdict::AlreadyDone,
     false},
    {"intent after an undeclared close",
     {makeEdit(Close, UndeclaredAttempt, 2)},
     makeEdit(Intent, 9, 3),
     EditVerdict::NotRun,
     false},
    {"result of another",
     {makeEdit(Intent, 1, 1)},
     makeEdit(Result, 2, 2),
     EditVerdict::HeldByOther,
     false},
};

BOOST_DATA_TEST_CASE(ledger_edits_follow_the_rules, data::make(RuleRows), row) {
  LedgerBucket bucket;
  for (const LedgerEdit &it : row.Before)
    bucket.apply(it, LedgerLimits{}, Start);
  const LedgerBucket::Applied applied =
      bucket.apply(row.Edit, LedgerLimits{}, Start);
  BOOST_CHECK(applied.Outcome.Verdict == row.Verdict);
  BOOST_TEST(applied.HasChanged == row.HasChanged);
  BOOST_TEST(encodeBucket(bucket).size() <= bucket.encodedBound());
  BOOST_CHECK(decodeBucket(encodeBucket(bucket)) == bucket);
}

static LedgerBucket fillBucket(const LedgerLimits &limits) {
  LedgerBucket bucket;
  for (std::uint64_t it = 0;; it++) {
    const LedgerEdit edit = makeEdit(Intent, 1, it, "k" + std::to_string(it));
    if (bucket.apply(edit, limits, Start).Outcome.Verdict == EditVerdict::Full)
      return bucket;
  }
}

// Far more calls than planned fill a bucket up to the size limit of the object
// API. New calls must be refused as LedgerFull, while running calls must still
// be able to record their results for retries.
BOOST_AUTO_TEST_CASE(ledger_full_bucket_refuses_calls_and_accepts_results) {
  LedgerLimits limits;
  LedgerBucket bucket = fillBucket(limits);
  const auto count = bucket.entries().size();
  BOOST_TEST(encodeBucket(bucket).size() <= limits.MaxBytes);
  for (std::uint64_t it = 0; it < count; it++) {
    const LedgerEdit edit = makeEdit(Result, 1, it, "k" + std::to_string(it));
    const EditVerdict verdict =
        bucket.apply(edit, limits, Start).Outcome.Verdict;
    BOOST_REQUIRE(verdict == EditVerdict::Accepted);
  }
  BOOST_TEST(encodeBucket(bucket).size() <= limits.MaxBytes);
  BOOST_TEST(bucket.entries().rbegin()->second.Status == 201);
}

BOOST_AUTO_TEST_CASE(ledger_forgets_entries_by_age) {
  LedgerLimits limits;
  LedgerBucket bucket;
  bucket.apply(makeEdit(Intent, 1, 1), limits, Start);
  const LedgerEdit other = makeEdit(Intent, 2, 2);
  const auto held = bucket.apply(other, limits, Start + limits.Retention);
  BOOST_CHECK(held.Outcome.Verdict == EditVerdict::HeldByOther);
  const auto later =
      bucket.apply(other, limits, Start + limits.Retention + seconds(1));
  BOOST_CHECK(later.Outcome.Verdict == EditVerdict::Accepted);
}

static const std::string UnreadableRows[] = {
    "", "no bucket", std::string("\x82\x02\x80", 3),
    std::string("\x82\x01\x81\x80", 4)};

// Another program or a newer daemon has written the object. If it were treated
// as an empty bucket, every call in it could run again.
BOOST_DATA_TEST_CASE(ledger_unreadable_bucket_is_an_outage,
                     data::make(UnreadableRows), body) {
  BOOST_CHECK_THROW(decodeBucket(body), LedgerBucketUnreadable);
  BucketUpdater updater{LedgerLimits{}};
  updater.submit(1, makeEdit(Intent, 1, 1));
  updater.next(Start);
  updater.onRead(StoredObject{body, 1});
  const auto finished = updater.takeFinished();
  BOOST_REQUIRE(finished.size() == 1);
  BOOST_CHECK(finished[0].Outcome.Verdict == EditVerdict::Unavailable);
}

BOOST_AUTO_TEST_CASE(ledger_edits_during_a_request_share_an_update) {
  BucketUpdater updater{LedgerLimits{}};
  for (std::uint64_t it = 0; it < 20; it++)
    updater.submit(it, makeEdit(Intent, 1, it, "k" + std::to_string(it)));
  BOOST_CHECK(updater.next(Start)->What == BucketRequest::Kind::Read);
  updater.onRead(std::nullopt);
  BOOST_CHECK(updater.next(Start)->What == BucketRequest::Kind::Write);
  updater.onWritten(1);
  BOOST_TEST(updater.takeFinished().size() == 20);
  // The bucket is cached now: the next call needs one write and no read.
  updater.submit(20, makeEdit(Intent, 1, 20, "k20"));
  const auto request = updater.next(Start);
  BOOST_CHECK(request->What == BucketRequest::Kind::Write);
  BOOST_TEST(request->ExpectedVersion == 1U);
}
