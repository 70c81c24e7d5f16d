#include "net/http.h"

#include <catch2/catch.hpp>
#include <string>

using namespace liftrudder;
using net::HttpParser;

TEST_CASE("HTTP is parsed strictly, however it is split") {
  std::string text =
      "POST /x?a=1&b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e\r\nde\r\n0\r\n\r\n";
  HttpParser parser(HttpParser::Kind::kRequest);
  std::string input;
  for (char c : text) parser.Feed(input += c);
  CHECK(parser.Feed(input) == HttpParser::State::kDone);
  CHECK(parser.message().body == "abcde");
  CHECK(parser.message().Parameter("a") == "1");
  for (std::string bad : {"GET  / HTTP/1.1\r\n\r\n", "GET / HTTP/2\r\n\r\n",
                          "GET / HTTP/1.1\r\nA : b\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
                          "GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                          "GET / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"}) {
    INFO(bad);
    CHECK(HttpParser(HttpParser::Kind::kRequest).Feed(bad) == HttpParser::State::kBad);
  }
  std::string endless(net::kMaxHeadBytes + 1, 'a');
  CHECK(HttpParser(HttpParser::Kind::kRequest).Feed(endless) == HttpParser::State::kBad);
}
