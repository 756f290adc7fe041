#include "LibDecision/CallTicket.h"
#include <charconv>
#include <string_view>

namespace sorrelbay {

// The format is "ticket:OWNER@ADDRESS:EXPIRY:SERIAL". EXPIRY and SERIAL are
// decimal numbers, and an owner's name has no '@', so that the address may
// contain any character.
static constexpr std::string_view Prefix = "ticket:";
static constexpr char AddressSign = '@';
static constexpr char Separator = ':';

IdempotencyKey ticketKey(const CallTicket &ticket) {
  std::string text(Prefix);
  text += ticket.Owner.text();
  text += AddressSign;
  text += ticket.Address;
  text += Separator;
  text += std::to_string(ticket.Expiry.time_since_epoch().count());
  text += Separator;
  text += std::to_string(ticket.Serial);
  return IdempotencyKey(text);
}

template <typename Number>
static std::optional<Number> parseNumber(std::string_view text) {
  Number n = 0;
  const char *end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, n);
  if (text.empty() || ec != std::errc() || stop != end)
    return std::nullopt;
  return n;
}

// Removes the last separator and the text after it, which is returned.
static std::optional<std::string_view> takeLast(std::string_view &text) {
  const std::size_t at = text.rfind(Separator);
  if (at == std::string_view::npos)
    return std::nullopt;
  const std::string_view last = text.substr(at + 1);
  text = text.substr(0, at);
  return last;
}

std::optional<CallTicket> parseTicket(const IdempotencyKey &key) {
  std::string_view text = key.text();
  if (text.substr(0, Prefix.size()) != Prefix)
    return std::nullopt;
  text.remove_prefix(Prefix.size());
  const auto serial = takeLast(text);
  const auto expiry = takeLast(text);
  const std::size_t addressSign = text.find(AddressSign);
  if (!serial || !expiry || addressSign == 0 ||
      addressSign == std::string_view::npos)
    return std::nullopt;
  const auto expiryTicks = parseNumber<std::int64_t>(*expiry);
  const auto serialNumber = parseNumber<std::uint64_t>(*serial);
  if (!expiryTicks || !serialNumber)
    return std::nullopt;
  CallTicket ticket;
  ticket.Owner = IncarnationId(std::string(text.substr(0, addressSign)));
  ticket.Address = text.substr(addressSign + 1);
  ticket.Expiry = Instant(Duration(*expiryTicks));
  ticket.Serial = *serialNumber;
  return ticket;
}

} // namespace sorrelbay
