#pragma once

#include <exception>
#include <string>
#include <utility>

namespace sorrelbay {

/// The base class of all errors. Each kind of error has a class of its own,
/// defined in the library that throws it, so that a handler catches exactly
/// what it handles. The message is for operators and is never parsed.
class Error : public std::exception {
public:
  explicit Error(std::string message) : Message(std::move(message)) {}
  const char *what() const noexcept override { return Message.c_str(); }

private:
  std::string Message;
};

} // namespace sorrelbay
