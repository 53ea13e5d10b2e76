#include <boost/test/unit_test.hpp>

#include <string>

#include "fleet/configuration_func.h"
#include "platform/configuration_func.h"
#include "platform/json_func.h"
#include "platform/request_func.h"
#include "platform/store_era_func.h"
#include "platform/store_func.h"
#include "platform/upstream_entry_func.h"

namespace poplarfork::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
namespace http = boost::beast::http;

constexpr base::TimePoint kNow{seconds(100)};

constexpr const char* kUpstreamEntry =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1",)"
    R"("slots":6,"state":"ready","warmupLeft":"1500ms","sequence":4,)"
    R"("born":1700000000000})";

std::string ReplaceFirst(std::string text,
                         const std::string& from,
                         const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

constexpr const char* kConfiguration =
    R"({"version":7,"routes":{)"
    R"("look":{"host":"F.example","pathPrefix":"/a/","routeType":"idempotent",)"
    R"("timeout":"3000ms","targetLatency":"1.5s","priority":2,"trafficSplit":)"
    R"([{"service":"s","weight":90},{"service":"t","weight":10}],)"
    R"("maxAttempts":2},)"
    R"("order":{"host":"f.example","pathPrefix":"/a/b/","routeType":)"
    R"("non_idempotent","timeout":"4s","targetLatency":"1500ms","priority":1,)"
    R"("service":"s","maxAttempts":2}},)"
    R"("services":{"s":{"healthPath":"/health","maxConnections":330},)"
    R"("t":{"healthPath":"/health","maxConnections":330}},)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,)"
    R"("headerTimeout":"5s","idleTimeout":"20s"}})";

}  // namespace

// Guards against store entries that are not valid upstream entries, for example
// of other writers, and are nevertheless used as upstreams.
BOOST_AUTO_TEST_CASE(MalformedUpstreamEntriesAreRejected) {
  const auto entry = ParseUpstreamEntry("i-1", kUpstreamEntry, kNow);
  BOOST_REQUIRE(entry.has_value());
  BOOST_TEST(entry.value().slots == 6U);
  BOOST_TEST(entry.value().data_centre.value == "a");
  BOOST_TEST((entry.value().cold_until == kNow + milliseconds(1500)));
  BOOST_TEST(entry.value().incarnation.value == 1700000000000U);
  const std::pair<const char*, const char*> damaged_members[] = {
      {R"("slots":6)", R"("slots":"6")"},
      {R"("slots":6)", R"("slots":0)"},
      {R"("state":"ready")", R"("state":"resting")"},
      {R"("address":"10.0.0.9:8080")", R"("address":"10.0.0.9")"},
      {R"("address":"10.0.0.9:8080")", R"("address":7)"},
      {R"("service":"s")", R"("service":null)"},
      {R"("zone":"a",)", ""},
  };
  for (const auto& [from, to] : damaged_members)
    BOOST_TEST(!ParseUpstreamEntry(
                   "i-1", ReplaceFirst(kUpstreamEntry, from, to), kNow),
               to);
  BOOST_TEST(!ParseUpstreamEntry("i-1", "\xff\xfe no text", kNow));
  BOOST_TEST(!ParseUpstreamEntry("i-1", "[]", kNow));
}

// Guards against entries of other writers that end or block the daemons that
// read them: nested more deeply than the memory of a small VM allows, with
// numbers that fit no type, or with names that fit no datagram or header field.
BOOST_AUTO_TEST_CASE(EntriesOfOtherWritersNameNoUpstream) {
  constexpr std::size_t kMegabyte = 1024 * 1024;
  const std::string entry = kUpstreamEntry;
  const std::string odd_entries[] = {
      std::string(kMegabyte, '['),
      std::string(kMegabyte / 2, '[') + std::string(kMegabyte / 2, ']'),
      ReplaceFirst(entry, "{",
                   R"({"x":")" + std::string(kMegabyte, 'x') + R"(",)"),
      ReplaceFirst(entry, R"("slots":6)", R"("slots":1e999)"),
      ReplaceFirst(entry, R"("slots":6)", R"("slots":18446744073709551616)"),
      ReplaceFirst(entry, R"("slots":6)",
                   R"("slots":)" + std::string(4000, '9')),
      ReplaceFirst(entry, "10.0.0.9:8080", "10.0.0.9:65536"),
      ReplaceFirst(entry, "10.0.0.9:8080", "10.0.0.9:18446744073709551696"),
      ReplaceFirst(entry, "10.0.0.9:8080", "10.0.0.9:-1"),
      ReplaceFirst(entry, "10.0.0.9:8080", "10.0.0.9:0"),
      ReplaceFirst(entry, "10.0.0.9:8080", "10.0.0.256:80"),
      ReplaceFirst(entry, R"("service":"s")",
                   R"("service":")" + std::string(5000, 's') + '"'),
      ReplaceFirst(entry, R"("zone":"a")",
                   R"("zone":")" + std::string(5000, 'a') + '"'),
  };
  for (const std::string& odd_entry : odd_entries)
    BOOST_TEST(!ParseUpstreamEntry("i-1", odd_entry, kNow),
               odd_entry.substr(0, 200));
  for (const std::string id : {"", "i 1", "i-1\r\nX: y", "i\x7f", "i\xc3\xa4"})
    BOOST_TEST(!ParseUpstreamEntry(id, entry, kNow), id);
  BOOST_TEST(!ParseUpstreamEntry(std::string(256, 'i'), entry, kNow));
  const auto deep =
      ParseUpstreamEntry("i-1",
                         ReplaceFirst(entry, "{",
                                      R"({"x":)" + std::string(4000, '[') +
                                          std::string(4000, ']') + ","),
                         kNow);
  BOOST_TEST(deep.has_value());
  for (const char* warm_up : {R"("1e308s")", R"("99999999999999999999s")", "7"})
    BOOST_TEST(ParseUpstreamEntry(
                   "i-1", ReplaceFirst(entry, R"("1500ms")", warm_up), kNow)
                   .has_value(),
               warm_up);
}

// Guards against odd values with which an upstream would get no requests
// without end, or get requests that it does not want.
BOOST_AUTO_TEST_CASE(NoticesOfUpstreamsAreDecoded) {
  const auto parse_pause = [](std::initializer_list<const char*> values,
                              unsigned status) {
    edge::HttpHeader header;
    header.result(status);
    for (const char* value : values)
      header.insert(http::field::retry_after, value);
    return ParseUpstreamNotice(header).pause;
  };
  BOOST_TEST((parse_pause({"3"}, 503) == seconds(3)));
  BOOST_TEST((parse_pause({"0.25"}, 503) == milliseconds(250)));
  BOOST_TEST((parse_pause({"1", "7", "2"}, 503) == seconds(7)));
  BOOST_TEST((parse_pause({"999999999999999999999999"}, 503) ==
              std::chrono::minutes(10)));
  BOOST_TEST((parse_pause({"3"}, 429) == seconds(0)));
  for (const char* value :
       {"", "-1", "+3", "1e9", "0x10", "inf", "nan", "1.2.3", ".", "3 s",
        "soon", "Fri, 31 Dec 2027 23:59:59 GMT"})
    BOOST_TEST((parse_pause({value}, 503) == seconds(0)), value);

  edge::HttpHeader header;
  header.result(200U);
  BOOST_TEST(!ParseUpstreamNotice(header).is_leaving);
  header.set("Server-Leaving", "0");
  BOOST_TEST(!ParseUpstreamNotice(header).is_leaving);
  header.set("server-leaving", "1");
  BOOST_TEST(ParseUpstreamNotice(header).is_leaving);
}

// Guards against a limit that is misread, or that anything but a number sets.
BOOST_AUTO_TEST_CASE(StatedLimitsAreParsed) {
  const auto parse = [](const char* text) {
    edge::HttpHeader header;
    header.set("Server-Limit", text);
    return ParseUpstreamNotice(header).rate_limit;
  };
  BOOST_TEST((parse("2.5") == 2.5));
  BOOST_TEST((parse("0") == 0.0));
  for (const char* text : {"", "-1", "1e9", "inf", "nan", "many", "1.2.3"})
    BOOST_TEST(!parse(text).has_value());
  edge::HttpHeader header;
  BOOST_TEST(!ParseUpstreamNotice(header).rate_limit.has_value());
  header.insert("Server-Limit", "7");
  header.insert("Server-Limit", "3");
  BOOST_TEST((ParseUpstreamNotice(header).rate_limit == 3.0));
}

// Guards against a route, its type, its objective or the limits being lost when
// a configuration is decoded.
BOOST_AUTO_TEST_CASE(ConfigurationsAreDecoded) {
  const auto parsed = ParseConfiguration(kConfiguration);
  BOOST_REQUIRE(parsed.has_value());
  const fleet::Configuration& configuration = parsed.value();
  BOOST_TEST(configuration.version.value == 7U);
  const fleet::Route* look =
      fleet::FindRoute(configuration, "f.example", "/a/x");
  const fleet::Route* order =
      fleet::FindRoute(configuration, "f.example", "/a/b/x");
  BOOST_REQUIRE(look);
  BOOST_REQUIRE(order);
  BOOST_TEST(look->repeatable);
  BOOST_TEST(!order->repeatable);
  BOOST_TEST(look->targets.size() == 2U);
  BOOST_TEST((look->latency_objective == milliseconds(1500)));
  BOOST_TEST(configuration.limits.max_body_bytes == 1000U);
  BOOST_TEST((configuration.limits.idle_timeout == seconds(20)));
}

// Guards against a malformed configuration that is accepted and would replace
// the valid one in force.
BOOST_AUTO_TEST_CASE(MalformedConfigurationsAreRejected) {
  const std::string text = kConfiguration;
  BOOST_TEST(!ParseConfiguration(text.substr(0, text.size() / 2)));
  BOOST_TEST(!ParseConfiguration(ReplaceFirst(text, R"("version":7,)", "")));
  BOOST_TEST(
      !ParseConfiguration(ReplaceFirst(text, R"("service":"s","maxAttempts")",
                                       R"("service":"nobody","maxAttempts")")));
  BOOST_TEST(!ParseConfiguration(
      ReplaceFirst(text, R"("timeout":"4s")", R"("timeout":"soon")")));
  BOOST_TEST(!ParseConfiguration(
      ReplaceFirst(text, R"("pathPrefix":"/a/b/")", R"("pathPrefix":"/a/b")")));
  // Requests of a route with an unknown type are treated as not repeatable.
  const auto unknown_type = ParseConfiguration(ReplaceFirst(
      text, R"("routeType":"idempotent")", R"("routeType":"new")"));
  BOOST_REQUIRE(unknown_type.has_value());
  BOOST_TEST(
      !fleet::FindRoute(unknown_type.value(), "f.example", "/a/x")->repeatable);
}

// Guards against a response of the store that is only partly decoded: malformed
// items must be counted, and a list without its revision must be rejected.
BOOST_AUTO_TEST_CASE(StoreResponsesAreDecoded) {
  const auto changes = ParseChanges(
      R"({"events":[{"key":"k","value":"bm9kZS0x","revision":412,"lease":1},)"
      R"({"key":"old","revision":413,"removed":true},)"
      R"({"key":"bad","value":"***","revision":414}],"asOf":414})",
      {});
  BOOST_REQUIRE(changes.has_value());
  BOOST_REQUIRE(changes.value().items.size() == 2U);
  BOOST_TEST(changes.value().items[0].value == "node-1");
  BOOST_TEST(changes.value().items[1].removed);
  BOOST_TEST(changes.value().unreadable_count == 1U);
  BOOST_TEST(changes.value().as_of.value == 414U);
  BOOST_TEST(!ParseChanges(R"({"events":[]})", {}));
  BOOST_TEST(!ParseChanges("<html>", {}));
  BOOST_TEST(!ParseLeaseId(R"({"lease":"7"})"));
  const auto put = MakePutRequest("members/x", "a\nb", LeaseId{7});
  BOOST_TEST(put.body() ==
             R"({"deletes":[],"expected":[],"puts":[{"key":"members/x",)"
             R"("lease":7,"value":"YQpi"}]})");
  BOOST_TEST(MakeWatchRequest("", {5}, seconds(1)).target() ==
             "/kv-watch?pathPrefix=&after=5&waitMs=1000");
}

// Guards against revisions of two eras that are compared as if they were of
// one, and against a watch that names a revision that the store does not have.
BOOST_AUTO_TEST_CASE(RevisionsBelongToEras) {
  const auto changes = ParseChanges(
      R"({"events":[{"key":"k","revision":7,"removed":true}],"asOf":7})", {3});
  BOOST_REQUIRE(changes.has_value());
  const fleet::StoreRevision as_of = changes.value().as_of;
  BOOST_TEST((changes.value().items[0].revision == as_of));
  BOOST_TEST(EraOf(as_of).value == 3U);
  BOOST_TEST(RevisionInEra(as_of) == 7U);
  BOOST_TEST((as_of > ComposeRevision({2}, 900)));
  BOOST_TEST(
      (as_of > EraStart({3}) && EraStart({3}) > ComposeRevision({2}, 9)));
  BOOST_TEST(MakeWatchRequest("", as_of, seconds(1)).target() ==
             "/kv-watch?pathPrefix=&after=7&waitMs=1000");
  BOOST_TEST(!ComposeRevision({0}, std::uint64_t{1} << 48U));
  BOOST_TEST(!ParseRevision(R"({"revision":281474976710656})", {1}));
}

// Guards against a malformed era that is taken for a restore of the store, or
// for an answer of an earlier era.
BOOST_AUTO_TEST_CASE(OddErasAreIgnored) {
  const auto parse = [](const std::vector<std::string>& values) {
    edge::HttpHeader header;
    for (const std::string& value : values)
      header.insert("Store-Era", value);
    return ParseStoreEra(header);
  };
  BOOST_TEST(!parse({}).era);
  BOOST_TEST(!parse({}).is_unreadable);
  BOOST_TEST(parse({"0"}).era->value == 0U);
  BOOST_TEST(parse({"65535"}).era->value == 65535U);
  const std::vector<std::vector<std::string>> odd_values = {
      {""},    {"two"},  {"-1"},    {"+1"},     {"1.0"},
      {"1 2"}, {"1, 1"}, {"65536"}, {"1", "1"}, {"99999999999999999999"}};
  for (const auto& values : odd_values) {
    BOOST_TEST(!parse(values).era);
    BOOST_TEST(parse(values).is_unreadable);
  }
}

// Guards against hop-by-hop fields that are forwarded to an upstream, against a
// forged target instance, and against a waiting time that is longer than what
// the caller has left.
BOOST_AUTO_TEST_CASE(UpstreamRequestsKeepEndToEndFields) {
  edge::HttpRequest request(http::verb::post, "/a/b?c=d", 11);
  request.set(http::field::host, "f.example");
  request.set("Attempt-Id", "9c");
  request.set("Deadline-Ms", "4000");
  request.set("Target-Instance", "forged");
  request.set(http::field::connection, "X-Private, keep-alive");
  request.set("X-Private", "1");
  request.set("X-Kept", "2");
  request.body() = "body";
  request.chunked(true);
  const auto upstream_request =
      MakeUpstreamRequest(request, milliseconds(1234), {"i-1"}, nullptr);
  BOOST_TEST(upstream_request.target() == "/a/b?c=d");
  BOOST_TEST(upstream_request.body() == "body");
  BOOST_TEST(upstream_request["Attempt-Id"] == "9c");
  BOOST_TEST(upstream_request["Deadline-Ms"] == "1234");
  BOOST_TEST(upstream_request["Target-Instance"] == "i-1");
  BOOST_TEST(upstream_request["X-Kept"] == "2");
  BOOST_TEST(upstream_request.count("X-Private") == 0U);
  BOOST_TEST(upstream_request[http::field::content_length] == "4");
  BOOST_TEST(upstream_request.count(http::field::transfer_encoding) == 0U);
  const RequestFields fields = ParseRequestFields(request);
  BOOST_TEST(fields.request_id == "9c");
  BOOST_TEST((fields.time_left == milliseconds(4000)));
}

// Guards against a response of another request or without a signature that is
// not recognized as such, and against a malformed load that is accepted.
BOOST_AUTO_TEST_CASE(ResponseFieldsAreParsed) {
  edge::HttpHeader header;
  header.result(503);
  header.set("Attempt-Id", "9c");
  header.set("Not-Executed", "1");
  header.set("Backend-Load", "3,0,8");
  const ResponseFields fields = ParseResponseFields(header, "9c");
  BOOST_TEST(fields.echoes_request_id);
  BOOST_TEST(fields.not_run);
  BOOST_TEST(!fields.is_signed);
  BOOST_REQUIRE(fields.reported_load.has_value());
  BOOST_TEST(fields.reported_load->running == 3U);
  BOOST_TEST(fields.reported_load->slots == 8U);
  BOOST_TEST(!ParseResponseFields(header, "9d").echoes_request_id);
  for (const char* malformed_load :
       {"3,0", "3,0,8,1", "3,,8", "a,0,8", "-1,0,8"}) {
    header.set("Backend-Load", malformed_load);
    BOOST_TEST(!ParseResponseFields(header, "9c").reported_load.has_value(),
               malformed_load);
  }
}

// Guards against callers that get no gateway addresses because their request is
// not recognized or its data centre is not decoded.
BOOST_AUTO_TEST_CASE(AddressQueriesAreParsed) {
  const auto query =
      ParseAddressQuery("/resolve?name=f.example&region=r&zone=osr%2Da");
  BOOST_REQUIRE(query.has_value());
  BOOST_TEST(query->data_centre == "osr-a");
  BOOST_TEST(ParseAddressQuery("/resolve").has_value());
  BOOST_TEST(!ParseAddressQuery("/resolved?zone=a").has_value());
  BOOST_TEST(FormatAddressList({"10.0.0.1:80"}, milliseconds(500)) ==
             R"({"addresses":["10.0.0.1:80"],"ttl":"500ms"})");
}

}  // namespace poplarfork::platform
