#include "LibHttp/EventSplitter.h"
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace sorrelbay;

namespace {

const std::vector<std::string> Newlines = {"\n", "\r", "\r\n"};

/// Replaces each LF by the newline.
std::string withNewline(const std::string &text, const std::string &newline) {
  std::string out;
  for (const char it : text)
    out += it == '\n' ? newline : std::string(1, it);
  return out;
}

/// Feeds the stream in parts of so many bytes; returns the complete events.
std::string feedInParts(EventSplitter &events, const std::string &stream,
                        std::size_t partBytes) {
  std::string out;
  for (std::size_t at = 0; at < stream.size(); at += partBytes)
    out += events.feed(std::string_view(stream).substr(at, partBytes));
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_splitter)

// An engine crashes in the middle of an event. If the partial event were
// forwarded, the caller would receive it and then the whole event from the next
// engine.
BOOST_AUTO_TEST_CASE(only_complete_events_are_forwarded) {
  const std::string complete = "id: 1\ndata: a\n\nid:2\ndata: b\n\n";
  for (const std::string &newline : Newlines) {
    const std::string stream = withNewline(complete + "id: 3\ndata", newline);
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
      EventSplitter events;
      std::string out = events.feed(stream.substr(0, cut));
      out += events.feed(stream.substr(cut));
      BOOST_TEST(out == withNewline(complete, newline));
      BOOST_TEST(events.lastId() == "2");
      BOOST_TEST(events.hasPartialEvent());
      BOOST_TEST(events.takePartialEvent() ==
                 withNewline("id: 3\ndata", newline));
      BOOST_TEST(!events.hasPartialEvent());
    }
  }
}

// A stream with other line endings than LF is held back until its end, so that
// its caller receives no event in time.
BOOST_AUTO_TEST_CASE(each_event_is_forwarded_when_it_is_complete) {
  for (const std::string &newline : Newlines) {
    EventSplitter events;
    for (const char *id : {"1", "2", "3"}) {
      const std::string event =
          withNewline(std::string("id: ") + id + "\ndata: a\n\n", newline);
      BOOST_TEST(events.feed(event) == event);
      BOOST_TEST(events.lastId() == id);
      BOOST_TEST(!events.hasPartialEvent());
    }
  }
}

// A stream breaks off at any byte. What ends inside an event must not pass for
// a whole stream, and what is whole must pass.
BOOST_AUTO_TEST_CASE(a_stream_ends_inside_an_event_or_between_two) {
  const std::string event = "id: 1\ndata: a\n\n";
  for (const std::string &newline : Newlines) {
    const std::string stream = withNewline(event + event, newline);
    for (std::size_t size = 0; size <= stream.size(); ++size) {
      EventSplitter events;
      const std::string out = feedInParts(events, stream.substr(0, size), 1);
      const bool isBetween = size % (stream.size() / 2) == 0;
      BOOST_TEST(events.hasPartialEvent() != isBetween);
      BOOST_TEST(out + events.takePartialEvent() == stream.substr(0, size));
    }
  }
}

struct LineEndingCase {
  const char *Stream;
  const char *Complete;
  const char *LastId;
};

// Streams mix line endings, and have comments and empty lines between events.
BOOST_AUTO_TEST_CASE(unusual_streams_are_split_alike_however_they_are_read) {
  const LineEndingCase cases[] = {
      {"id: 1\r\ndata: a\n\r\n", "id: 1\r\ndata: a\n\r\n", "1"},
      {"id: 1\ndata: a\r\r", "id: 1\ndata: a\r\r", "1"},
      {"id: 1\rdata: a\r\r\nid: 2\n\n", "id: 1\rdata: a\r\r\nid: 2\n\n", "2"},
      {"id: 1\r\n\rid: 2", "id: 1\r\n\r", "1"},
      {"\n\n: wait\nid: 1\n\n", "\n\n: wait\nid: 1\n\n", "1"},
      {": wait\n", ": wait\n", ""},
      {": wai", "", ""},
      {"id: 1\n: note\n", "", ""},
      {"id\n\n", "id\n\n", ""},
      {"identity: 1\n\n", "identity: 1\n\n", ""},
      {"id: 1\ndata: id: 2\n\n", "id: 1\ndata: id: 2\n\n", "1"},
      {"id: 1\n\nid: 2\ndata: b\n", "id: 1\n\n", "1"},
  };
  for (const LineEndingCase &it : cases)
    for (const std::size_t partBytes : {1U, 2U, 3U, 100U}) {
      EventSplitter events;
      BOOST_TEST(feedInParts(events, it.Stream, partBytes) == it.Complete);
      BOOST_TEST(events.lastId() == it.LastId);
    }
}

// A stream that broke off goes on at another engine. What was left of the first
// must not be taken for the begin of the second.
BOOST_AUTO_TEST_CASE(a_resumed_stream_begins_with_a_new_event) {
  for (const std::string rest : {"id: 2\r\nda", "id: 2\r", "id: 2\r\n\r"}) {
    EventSplitter events;
    events.feed("id: 1\r\n\r\n" + rest);
    events.takePartialEvent();
    BOOST_TEST(events.lastId() == "1");
    BOOST_TEST(events.feed("\nid: 2\r\n\r\n") == "\nid: 2\r\n\r\n");
    BOOST_TEST(events.lastId() == "2");
  }
}

// A stream goes on after an id of which a part was kept. The upstream would
// take it for another event.
BOOST_AUTO_TEST_CASE(an_id_that_is_too_long_is_not_used) {
  EventSplitter events;
  events.feed("id: " + std::string(100000, '1') + "\ndata: a\n\n");
  BOOST_TEST(events.lastId() == "");
  BOOST_TEST(!events.isLastEventNamed());
  events.feed("id: 2\ndata: b\n\n");
  BOOST_TEST(events.lastId() == "2");
  BOOST_TEST(events.isLastEventNamed());
}

// An engine ends its lines otherwise than with LF, or leaves out the space
// before the data. Its tokens would be lost.
BOOST_AUTO_TEST_CASE(the_data_of_events_is_read_with_any_line_ending) {
  for (const std::string &newline : Newlines) {
    std::vector<std::string> read;
    forEachEventData(
        withNewline(
            ": note\n\ndata: a\n\nid: 2\ndata:b\ndata: c\n\n\nid: 3\n\n",
            newline),
        [&](const std::string &data) { read.push_back(data); });
    BOOST_TEST(read == std::vector<std::string>({"a", "b\nc"}),
               boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_SUITE_END()
