#include "LibDecision/LedgerBucket.h"
#include "LibBase/Hash.h"
#include <algorithm>

namespace sorrelbay {

// The format version and the framing of the entries.
static constexpr std::size_t FrameBytes = 16;
// The fixed fields of an entry, with every length and number at its largest
// encoding, and the entry's share of the bucket's framing.
static constexpr std::size_t EntryOverheadBytes = 96;
// Intents and closed marks leave this fraction of the bucket free, so that
// results of calls in progress always fit.
static constexpr std::size_t ResultReserveDivisor = 16;

static auto tied(const LedgerEntry &it) {
  return std::tie(it.Call, it.State, it.Attempt, it.ClosedThrough, it.Owner,
                  it.Nonce, it.Status, it.Answer, it.HasAnswer, it.Time);
}

bool operator==(const LedgerEntry &a, const LedgerEntry &b) {
  return tied(a) == tied(b);
}

static std::size_t boundOf(const LedgerEntry &entry) {
  return EntryOverheadBytes + entry.Call.Team.text().size() +
         entry.Call.Key.text().size() + entry.Owner.text().size() +
         entry.Answer.size();
}

static std::size_t claimLimit(const LedgerLimits &limits) {
  return limits.MaxBytes - limits.MaxBytes / ResultReserveDivisor;
}

// The last attempt that a refusal must cover. An undeclared attempt cannot be
// distinguished from any other, so its refusal covers all attempts.
static CallAttempt lastCovered(CallAttempt attempt) {
  return attempt == UndeclaredAttempt ? AllAttempts : attempt;
}

std::size_t LedgerBucket::encodedBound() const { return FrameBytes + Bound; }

std::uint32_t bucketOf(const CallId &call, std::uint32_t count) {
  const std::uint64_t seed = stableHash(call.Team.text());
  return static_cast<std::uint32_t>(stableHash(call.Key.text(), seed) % count);
}

bool isOwn(const LedgerEntry &entry, const LedgerEdit &edit) {
  return entry.Owner == edit.Owner && entry.Nonce == edit.Nonce;
}

static LedgerBucket::Applied unchanged(EditVerdict verdict,
                                       const LedgerEntry &entry) {
  return {{verdict, entry, false}, false};
}

LedgerBucket::Applied LedgerBucket::apply(const LedgerEdit &edit,
                                          const LedgerLimits &limits,
                                          Instant at) {
  prune(limits.Retention, at);
  switch (edit.Kind) {
  case EditKind::PutIntent:
    return applyIntent(edit, limits, at);
  case EditKind::PutResult:
    return applyResult(edit, limits, at);
  case EditKind::Close:
    return applyClose(edit, limits, at);
  }
  return {};
}

LedgerBucket::Applied LedgerBucket::applyIntent(const LedgerEdit &edit,
                                                const LedgerLimits &limits,
                                                Instant at) {
  const LedgerEntry *found = find(edit.Call);
  if (found && found->State == EntryState::Done)
    return unchanged(EditVerdict::AlreadyDone, *found);
  if (found && found->State == EntryState::Intent)
    return unchanged(isOwn(*found, edit) ? EditVerdict::Accepted
                                         : EditVerdict::HeldByOther,
                     *found);
  // A late attempt must not run a call that an answer already reported as not
  // run.
  if (found && edit.Attempt <= found->ClosedThrough)
    return closeThrough(edit, limits, at);
  LedgerEntry entry;
  entry.Call = edit.Call;
  entry.Attempt = edit.Attempt;
  entry.ClosedThrough = found ? found->ClosedThrough : 0;
  entry.Owner = edit.Owner;
  entry.Nonce = edit.Nonce;
  entry.Time = at;
  return store(std::move(entry), EditVerdict::Accepted, claimLimit(limits));
}

LedgerBucket::Applied LedgerBucket::applyResult(const LedgerEdit &edit,
                                                const LedgerLimits &limits,
                                                Instant at) {
  const LedgerEntry *found = find(edit.Call);
  if (found && found->State == EntryState::Done)
    return unchanged(isOwn(*found, edit) ? EditVerdict::Accepted
                                         : EditVerdict::AlreadyDone,
                     *found);
  if (found && !isOwn(*found, edit))
    return unchanged(EditVerdict::HeldByOther, *found);
  LedgerEntry entry = found ? *found : LedgerEntry{};
  entry.Call = edit.Call;
  entry.State = EntryState::Done;
  entry.Attempt = edit.Attempt;
  entry.Owner = edit.Owner;
  entry.Nonce = edit.Nonce;
  entry.Status = edit.Status;
  entry.Time = at;
  if (edit.Answer.size() <= limits.MaxAnswerBytes) {
    entry.Answer = edit.Answer;
    entry.HasAnswer = true;
    Applied whole = store(entry, EditVerdict::Accepted, limits.MaxBytes);
    if (whole.HasChanged)
      return whole;
  }
  entry.Answer.clear();
  entry.HasAnswer = false;
  return store(std::move(entry), EditVerdict::Accepted, limits.MaxBytes);
}

LedgerBucket::Applied LedgerBucket::applyClose(const LedgerEdit &edit,
                                               const LedgerLimits &limits,
                                               Instant at) {
  const LedgerEntry *found = find(edit.Call);
  if (found && found->State == EntryState::Done)
    return unchanged(EditVerdict::AlreadyDone, *found);
  if (found && found->State == EntryState::Intent && !isOwn(*found, edit))
    return unchanged(EditVerdict::HeldByOther, *found);
  return closeThrough(edit, limits, at);
}

// Expects the entry to be absent, closed, or the owner's own unsent intent.
LedgerBucket::Applied LedgerBucket::closeThrough(const LedgerEdit &edit,
                                                 const LedgerLimits &limits,
                                                 Instant at) {
  const LedgerEntry *found = find(edit.Call);
  const CallAttempt through = lastCovered(edit.Attempt);
  if (found && found->State == EntryState::Closed &&
      found->ClosedThrough >= through)
    return unchanged(EditVerdict::NotRun, *found);
  LedgerEntry entry;
  entry.Call = edit.Call;
  entry.State = EntryState::Closed;
  entry.Attempt = edit.Attempt;
  entry.ClosedThrough = std::max(found ? found->ClosedThrough : 0, through);
  entry.Owner = edit.Owner;
  entry.Nonce = edit.Nonce;
  entry.Time = at;
  return store(std::move(entry), EditVerdict::NotRun, claimLimit(limits));
}

LedgerBucket::Applied LedgerBucket::store(LedgerEntry entry,
                                          EditVerdict verdict,
                                          std::size_t maxBytes) {
  const LedgerEntry *found = find(entry.Call);
  const std::size_t othersBound =
      encodedBound() - (found ? boundOf(*found) : 0);
  if (othersBound + boundOf(entry) >
      std::max(maxBytes, found ? encodedBound() : 0))
    return {{EditVerdict::Full, {}, false}, false};
  Applied applied{{verdict, entry, false}, true};
  insert(std::move(entry));
  return applied;
}

void LedgerBucket::insert(LedgerEntry entry) {
  const LedgerEntry *found = find(entry.Call);
  Bound -= found ? boundOf(*found) : 0;
  Bound += boundOf(entry);
  const CallId call = entry.Call;
  Entries.insert_or_assign(call, std::move(entry));
}

void LedgerBucket::prune(Duration retention, Instant at) {
  for (auto it = Entries.begin(); it != Entries.end();) {
    if (at - it->second.Time <= retention) {
      ++it;
      continue;
    }
    Bound -= boundOf(it->second);
    it = Entries.erase(it);
  }
}

const LedgerEntry *LedgerBucket::find(const CallId &call) const {
  const auto it = Entries.find(call);
  return it == Entries.end() ? nullptr : &it->second;
}

} // namespace sorrelbay
