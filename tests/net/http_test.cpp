// HttpParser: strict parsing, and the errors that it reports for rejected messages.
#include "net/http.h"

#include <catch2/catch.hpp>
#include <string>

using namespace liftrudder;
using net::HttpParseError;
using net::HttpParser;

namespace {

HttpParseError ErrorOf(std::string request) {
  constexpr std::size_t kBodyLimit = 8;
  HttpParser parser(HttpParser::Kind::kRequest, kBodyLimit);
  HttpParser::State state = parser.Feed(request);
  CHECK((state == HttpParser::State::kBad) == (parser.error() != HttpParseError::kNone));
  return parser.error();
}

}  // namespace

// Guards against bytes in a target that end or split the request line for the endpoint that it is forwarded
// to.
TEST_CASE("a target consists of visible ASCII characters") {
  for (int byte = 0; byte < 256; ++byte) {
    if (byte == ' ') continue;  // ends the target
    const std::string request = std::string("GET /a?b=") + static_cast<char>(byte) + " HTTP/1.1\r\n\r\n";
    const bool visible = byte > 0x20 && byte < 0x7f;
    CHECK(ErrorOf(request) == (visible ? HttpParseError::kNone : HttpParseError::kStartLine));
  }
}

TEST_CASE("percent-encoding keeps unreserved characters only, and decoding reverses it") {
  CHECK(net::PercentEncode("aZ9-._~") == "aZ9-._~");
  CHECK(net::PercentEncode("a b;c=d&e\n+") == "a%20b%3Bc%3Dd%26e%0A%2B");
  std::string all;
  for (int byte = 0; byte < 256; ++byte) all.push_back(static_cast<char>(byte));
  CHECK(net::PercentDecode(net::PercentEncode(all)) == all);
}

TEST_CASE("the parser reports which part of a rejected request is malformed") {
  const std::string line = "POST / HTTP/1.1\r\n";
  const std::string chunked = line + "Transfer-Encoding: chunked\r\n\r\n";
  CHECK(ErrorOf(line + "Content-Length: 2\r\n\r\nok") == HttpParseError::kNone);
  CHECK(ErrorOf(line + std::string(net::kMaxHeadBytes, 'a')) == HttpParseError::kHeadTooLarge);
  CHECK(ErrorOf("POST / HTTP/2\r\n\r\n") == HttpParseError::kStartLine);
  CHECK(ErrorOf("POST\r\n\r\n") == HttpParseError::kStartLine);
  CHECK(ErrorOf(line + "no colon\r\n\r\n") == HttpParseError::kHeader);
  std::string fields;
  for (std::size_t i = 0; i < net::kMaxHeaderFields; ++i) fields += "a:\r\n";
  CHECK(ErrorOf(line + fields + "\r\n") == HttpParseError::kNone);
  CHECK(ErrorOf(line + fields + "a:\r\n\r\n") == HttpParseError::kTooManyFields);
  CHECK(ErrorOf(line + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n") == HttpParseError::kFraming);
  CHECK(ErrorOf(line + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        HttpParseError::kFraming);
  CHECK(ErrorOf(line + "Content-Length: 9\r\n\r\n") == HttpParseError::kBodyTooLarge);
  CHECK(ErrorOf(chunked + "9\r\n123456789\r\n") == HttpParseError::kBodyTooLarge);
  CHECK(ErrorOf(chunked + "x\r\n") == HttpParseError::kChunk);
  CHECK(ErrorOf(chunked + std::string(300, '1')) == HttpParseError::kChunk);
}

TEST_CASE("the end of the connection completes a response without a length and breaks any other") {
  HttpParser unbounded(HttpParser::Kind::kResponse);
  std::string in = "HTTP/1.1 200 OK\r\n\r\nbody";
  CHECK(unbounded.Feed(in) == HttpParser::State::kBody);
  CHECK(unbounded.End() == HttpParser::State::kDone);
  CHECK(unbounded.error() == HttpParseError::kNone);
  HttpParser bounded(HttpParser::Kind::kResponse);
  in = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody";
  CHECK(bounded.Feed(in) == HttpParser::State::kBody);
  CHECK(bounded.End() == HttpParser::State::kBad);
  CHECK(bounded.error() == HttpParseError::kUnexpectedEnd);
}

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
