#include <gtest/gtest.h>
#include <glib.h>
#include <cstring>

#include "baobabward/table.h"
#include "config_fixture.h"

static std::string replaced(std::string s, const std::string &from,
			    const std::string &to)
{
	size_t at = s.find(from);

	EXPECT_NE(std::string::npos, at) << from;
	return at == std::string::npos ? s : s.replace(at, from.size(), to);
}

// Guards against values that are read into the wrong field or that the writer
// omits.
TEST(Config, ParsedDocumentIsWrittenBack)
{
	std::string why;
	Config c = parse(Document().json(), &why);

	ASSERT_TRUE(c) << why;
	EXPECT_EQ(7u, c->version);
	EXPECT_EQ(2u, c->hosts_nr);
	EXPECT_NE(c->hosts[0].zone_id, c->hosts[1].zone_id);
	EXPECT_EQ(2u, c->services[0].backends_nr);
	EXPECT_EQ(1u, c->services[0].backends[1]);
	EXPECT_EQ(0u, c->services[1].backends_nr);
	EXPECT_EQ(BB_BACKEND_LEAVING, c->backends[1].state);
	EXPECT_EQ(0.5, c->backends[1].weight);
	EXPECT_TRUE(c->routes[1].access == BB_ACCESS_OPEN);
	EXPECT_EQ((unsigned)(BB_METHOD_POST | BB_METHOD_PUT),
		  c->routes[1].methods);
	std::string text = text_of(c.get());
	Config again = parse(text, &why);
	ASSERT_TRUE(again) << why;
	EXPECT_EQ(text, text_of(again.get()));
	EXPECT_EQ(c->seats_hash, again->seats_hash);
}

// Guards against a lookup that accepts a prefix of a name or of a key.
TEST(Config, Lookups)
{
	Config c = parse(Document().json());

	EXPECT_EQ(1u, bb_config_find_host(c.get(), "h2x", 2));
	EXPECT_EQ(BB_NO_ROW, bb_config_find_host(c.get(), "h2x", 3));
	EXPECT_EQ(1u, bb_config_find_service(c.get(), "lookup", 6));
	EXPECT_EQ(0u, bb_config_find_backend(c.get(), "o1", 2));
	EXPECT_EQ(BB_NO_ROW, bb_config_find_account(c.get(), "", 0));
	for (size_t i = 0; i < c->routes_nr; i++)
		EXPECT_EQ(i, bb_config_find_route(c.get(), c->routes[i].name,
						  strlen(c->routes[i].name)));
	EXPECT_EQ(1u, bb_config_find_key(c.get(), "bbk_2", 5));
	EXPECT_EQ(BB_NO_ROW, bb_config_find_key(c.get(), "bbk_2", 4));
	EXPECT_EQ(BB_NO_ROW, bb_config_find_key(c.get(), "", 0));
}

// Guards against a route that matches a part of a segment, and against a path
// that is reported as unknown where it exists for another method.
TEST(Config, LongestPrefixWins)
{
	Config c = parse(Document().json());
	bool known;
	auto match = [&](const char *path, unsigned method) {
		return bb_config_match_route(c.get(), nullptr, path, method,
					     &known);
	};

	EXPECT_EQ(0u, match("/", BB_METHOD_GET));
	EXPECT_EQ(0u, match("/booking", BB_METHOD_GET));
	EXPECT_EQ(0u, match("//book", BB_METHOD_GET));
	EXPECT_EQ(1u, match("/book", BB_METHOD_PUT));
	EXPECT_EQ(3u, match("/book/", BB_METHOD_GET));
	EXPECT_EQ(2u, match("/book/profile/a/b", BB_METHOD_GET));
	EXPECT_EQ(BB_NO_ROW, match("/book/profile", BB_METHOD_POST));
	EXPECT_TRUE(known);
	EXPECT_EQ(BB_NO_ROW, match("book", BB_METHOD_GET));
	EXPECT_FALSE(known);
}

// Guards against a match with a route of another host, a case-sensitive
// comparison of host names, and a prefix that ends in '/' but matches the path
// without it.
TEST(Config, RoutesByHostAndTrailingSlash)
{
	Document d;
	auto row = [](const std::string &name, const std::string &more) {
		return "{\"name\":\"" + name +
		       "\",\"methods\":[\"GET\"],\"service\":\"orders\","
		       "\"idempotent\":true,\"access\":\"public\","
		       "\"max_body_bytes\":1,\"timeout_ms\":1," +
		       more + "}";
	};
	bool known;

	d.routes = row("any", "\"path_prefix\":\"/a/\"") + "," +
		   row("x",
		       "\"path_prefix\":\"/a/\",\"host_name\":\"X.example\"") +
		   "," +
		   row("x-below",
		       "\"path_prefix\":\"/a/b/\",\"host_name\":\"X.example\"");
	Config c = parse(d.json());
	ASSERT_NE(nullptr, c);
	auto match = [&](const char *host, const char *path) {
		uint32_t r = bb_config_match_route(c.get(), host, path,
						   BB_METHOD_GET, &known);

		return std::string(r == BB_NO_ROW ? "-" : c->routes[r].name);
	};
	EXPECT_EQ("any", match(nullptr, "/a/1"));
	EXPECT_EQ("any", match("y.example", "/a/b/1"));
	EXPECT_EQ("x", match("x.EXAMPLE", "/a/1"));
	EXPECT_EQ("x", match("x.example", "/a/"));
	EXPECT_EQ("x", match("x.example", "/a/b"));
	EXPECT_EQ("x-below", match("x.example", "/a/b/"));
	EXPECT_EQ("x-below", match("x.example", "/a/b/c/d"));
	EXPECT_EQ("-", match("x.example", "/a"));
	EXPECT_EQ("-", match("x.example", "/ab/"));
	EXPECT_EQ(BB_ACCESS_PUBLIC, c->routes[0].access);
}

// Guards against a prefix with percent-encoded bytes that is refused or does not
// match, and against a caller that reaches or avoids a route by spelling a path
// in another way.
TEST(Config, PathsAreComparedInNormalForm)
{
	Document d;
	auto with_prefix = [&](const std::string &prefix) {
		Document e = d;

		e.routes.replace(e.routes.find("/book/profile"), 13, prefix);
		return e.json();
	};
	bool known;

	Config c = parse(with_prefix("/sch%C3%A4rfen/"));
	ASSERT_NE(nullptr, c);
	EXPECT_STREQ("/sch%C3%A4rfen/", c->routes[2].path_prefix);
	EXPECT_EQ(text_of(c.get()), text_of(parse(text_of(c.get())).get()));
	auto match = [&](const char *path) {
		uint32_t r = bb_config_match_route(c.get(), nullptr, path,
						   BB_METHOD_GET, &known);

		return std::string(r == BB_NO_ROW ? "-" : c->routes[r].name);
	};
	EXPECT_EQ("profile", match("/sch%C3%A4rfen/1"));
	EXPECT_EQ("profile", match("/sch%c3%a4rfen/1"));
	EXPECT_EQ("profile", match("/%73ch%C3%A4rfen/1"));
	EXPECT_EQ("profile", match("/book/../sch%C3%A4rfen/"));
	EXPECT_EQ("profile", match("/./sch%C3%A4rfen/./x"));
	EXPECT_EQ("root", match("/sch%C3%A4rfen"));
	EXPECT_EQ("root", match("/sch%25C3%25A4rfen/1"));
	EXPECT_EQ("root", match("/sch%C3%A4rfen%2F1"));
	EXPECT_EQ("book-get", match("/%62ook"));
	EXPECT_EQ("book-get", match("/x/%2e%2E/book/y"));
	EXPECT_EQ("root", match("/book/.."));
	EXPECT_EQ("root", match("/../.."));
	EXPECT_EQ("root", match("/%"));
	EXPECT_EQ("root", match("/book%2"));
	// Equivalent prefixes are the same one.
	c = parse(with_prefix("/%7Eme/%c3"));
	ASSERT_NE(nullptr, c);
	EXPECT_EQ("profile", match("/~me/%C3/1"));
	EXPECT_EQ(nullptr, parse(with_prefix("/%62ook")));
	for (auto bad : { "/a%", "/a%4", "/a%4g/", "/%zz", "/%2e/", "/%2E%2e",
			  "/a/.", "/a/%2e./b" })
		EXPECT_EQ(nullptr, parse(with_prefix(bad))) << bad;
}

// Guards against services of a split that are lost, and against a split that is
// accepted although it is empty, has no defined service or weight, or does not
// begin with the service of the route.
TEST(Config, SplitRoutes)
{
	const std::string one = "\"service\":\"orders\",\"idempotent\":false";
	auto with = [&](const std::string &split) {
		Document d;

		d.routes.replace(d.routes.find(one), one.size(),
				 "\"split\":" + split + "," + one);
		return d.json();
	};
	std::string why;
	Config c = parse(with("[{\"service\":\"orders\",\"weight\":90},"
			      "{\"service\":\"lookup\",\"weight\":10}]"));

	ASSERT_NE(nullptr, c);
	ASSERT_EQ(2u, c->routes[1].split_nr);
	EXPECT_EQ(1u, c->routes[1].split[1].service);
	EXPECT_EQ(10, c->routes[1].split[1].weight);
	EXPECT_EQ(text_of(c.get()), text_of(parse(text_of(c.get())).get()));
	EXPECT_EQ(nullptr, parse(with("[]"), &why));
	EXPECT_EQ(nullptr,
		  parse(with("[{\"service\":\"lookup\",\"weight\":1}]"), &why));
	EXPECT_EQ(nullptr,
		  parse(with("[{\"service\":\"orders\",\"weight\":0}]"), &why));
	EXPECT_EQ(nullptr,
		  parse(with("[{\"service\":\"nobody\",\"weight\":1}]"), &why));
	EXPECT_NE(std::string::npos, why.find("column split"));
}

// Guards against a route that the tree of path segments misses or matches
// wrongly: compares it with a scan of all routes on random paths.
TEST(Config, RouteMatchEqualsScan)
{
	GRand *r = g_rand_new_with_seed(5);
	Document d;
	std::string paths = "abc";

	d.routes = "";
	for (int i = 0; i < 60; i++) {
		std::string p;

		for (int j = g_rand_int_range(r, 1, 5); j; j--)
			p += std::string("/") + paths[g_rand_int(r) % 3];
		Document trial = d;
		trial.routes +=
			std::string(d.routes.empty() ? "" : ",") +
			"{\"name\":\"r" + std::to_string(i) +
			"\",\"path_prefix\":\"" + p + "\",\"methods\":[\"" +
			(i % 2 ? "GET" : "POST") +
			"\"],\"service\":\"lookup\",\"idempotent\":true,"
			"\"access\":\"open\",\"max_body_bytes\":1,"
			"\"timeout_ms\":1}";
		if (parse(trial.json()))
			d = trial;
	}
	Config c = parse(d.json());
	ASSERT_TRUE(c);
	ASSERT_LT(20u, c->routes_nr);
	for (int i = 0; i < 2000; i++) {
		std::string p;
		unsigned method = i % 2 ? BB_METHOD_GET : BB_METHOD_POST;
		size_t longest = 0;
		uint32_t want = BB_NO_ROW;
		bool known;

		for (int j = g_rand_int_range(r, 1, 7); j; j--)
			p += std::string("/") + paths[g_rand_int(r) % 3];
		for (size_t k = 0; k < c->routes_nr; k++) {
			std::string prefix = c->routes[k].path_prefix;

			if (p != prefix && p.rfind(prefix + "/", 0) != 0)
				continue;
			if (prefix.size() > longest) {
				longest = prefix.size();
				want = BB_NO_ROW;
			}
			if (prefix.size() == longest &&
			    c->routes[k].methods & method)
				want = k;
		}
		ASSERT_EQ(want,
			  bb_config_match_route(c.get(), nullptr, p.c_str(),
						method, &known))
			<< p;
		ASSERT_EQ(want == BB_NO_ROW && longest, known) << p;
	}
	g_rand_free(r);
}

// Guards against one value that is not valid and keeps the rest of a document
// from taking effect, and against what is left of it: a row that refers to a
// refused one, a key, or a path that falls to a shorter prefix.
TEST(Config, RowsThatAreNotValidAreLeftOut)
{
	Document d;
	struct bb_error err = {};
	bool known;

	d.services += R"(,{"name":"bad","floor_percent":101})";
	d.backends +=
		R"(,{"name":"o3","host":"h1","service":"bad","url":"http://127.0.0.1:8003","weight":1,"slots":5,"max_connections":5,"state":"in"})";
	d.routes +=
		R"(,{"name":"to-bad","path_prefix":"/book/bad/","methods":["GET"],"service":"bad","idempotent":true,"access":"open","max_body_bytes":1,"timeout_ms":1},
{"name":"late","path_prefix":"/late/","host_name":"x.example","methods":["GET"],"service":"orders","idempotent":true,"access":"open","max_body_bytes":1,"timeout_ms":0},
{"name":"same","path_prefix":"/%62ook","methods":["GET"],"service":"orders","idempotent":true,"access":"open","max_body_bytes":1,"timeout_ms":1},
{"name":"below","path_prefix":"/book/bad/below/","methods":["GET"],"service":"orders","idempotent":true,"access":"open","max_body_bytes":1,"timeout_ms":1})";
	d.accounts = account_row(1, -1) + "," + account_row(2, 2.5) + "," +
		     replaced(account_row(2, 1), "account-2", "twin") + "," +
		     account_row(3, 1);
	EXPECT_EQ(nullptr, parse(d.json()));
	std::string json = d.json();
	Config c(bb_config_parse_rows(json.data(), json.size(), &err));

	ASSERT_NE(nullptr, c) << err.message;
	ASSERT_EQ(7u, c->refusals_nr);
	EXPECT_STREQ("services row 3 (name \"bad\"), column floor_percent: 101 "
		     "is not between 0 and 100",
		     c->refusals[0]);
	EXPECT_EQ(2u, c->services_nr);
	EXPECT_EQ(2u, c->backends_nr);
	EXPECT_EQ(5u, c->routes_nr);
	EXPECT_EQ(2u, c->accounts_nr);
	EXPECT_EQ(BB_NO_ROW, bb_config_find_key(c.get(), "bbk_1", 5));
	EXPECT_EQ(0u, bb_config_find_key(c.get(), "bbk_2", 5));
	EXPECT_EQ(1u, bb_config_find_key(c.get(), "bbk_3", 5));
	EXPECT_EQ(1u, bb_config_find_account(c.get(), "account-3", 9));
	EXPECT_EQ(BB_NO_ROW, bb_config_find_account(c.get(), "twin", 4));
	auto match = [&](const char *host, const char *path) {
		uint32_t r = bb_config_match_route(c.get(), host, path,
						   BB_METHOD_GET, &known);

		if (r != BB_NO_ROW)
			return std::string(c->routes[r].name);
		EXPECT_FALSE(known);
		return std::string(
			bb_config_is_refused_path(c.get(), host, path) ?
				"refused" :
				"-");
	};
	EXPECT_EQ("refused", match(nullptr, "/book/bad/1"));
	EXPECT_EQ("refused", match("y.example", "/book/%62ad/1"));
	EXPECT_EQ("below", match(nullptr, "/book/bad/below/1"));
	EXPECT_EQ("book-get", match(nullptr, "/book/1"));
	EXPECT_EQ("refused", match("X.example", "/late/1"));
	EXPECT_EQ("root", match(nullptr, "/late/1"));
	EXPECT_FALSE(bb_config_is_refused_path(c.get(), nullptr, "/book/1"));
	// What a host or the document breaks is no row to leave out.
	json = replaced(json, "\"data_port\":7001", "\"data_port\":0");
	EXPECT_EQ(nullptr,
		  bb_config_parse_rows(json.data(), json.size(), &err));
	EXPECT_NE(nullptr, strstr(err.message, "hosts row 1"));
	// Without such rows the result is the same.
	json = Document().json();
	c.reset(bb_config_parse_rows(json.data(), json.size(), &err));
	ASSERT_NE(nullptr, c);
	EXPECT_EQ(0u, c->refusals_nr);
	EXPECT_EQ(text_of(parse(json).get()), text_of(c.get()));
}

// Guards against a name, a host name or a health path that is refused although
// it is valid in HTTP, and against one that is not.
TEST(Config, NamesHostsAndHealthPaths)
{
	const std::string host_255(255, 'h');
	auto with = [](const std::string &from, const std::string &to) {
		std::string json = Document().json();

		for (size_t i; (i = json.find(from)) != std::string::npos;)
			json.replace(i, from.size(), to);
		return parse(json);
	};
	auto add = [](const std::string &after, const std::string &column) {
		std::string json = Document().json();

		return parse(
			json.insert(json.find(after) + after.size(), column));
	};
	const std::string book = "\"path_prefix\":\"/book/profile\"";
	const std::string service = "\"floor_percent\":60";

	for (auto name : { "Oberlechner S\303\244ge", "a b", "%" }) {
		Config c = with("account-1", name);

		ASSERT_NE(nullptr, c) << name;
		EXPECT_EQ(0u,
			  bb_config_find_account(c.get(), name, strlen(name)));
		EXPECT_EQ(text_of(c.get()),
			  text_of(parse(text_of(c.get())).get()));
		EXPECT_NE(nullptr, with("orders", name)) << name;
		EXPECT_NE(nullptr, with("book-get", name)) << name;
	}
	for (auto name : { " a", "a ", "a\\tb", "a\\u007f" })
		EXPECT_EQ(nullptr, with("account-1", name)) << name;
	EXPECT_NE(nullptr, with("account-1", std::string(128, 'n')));
	EXPECT_EQ(nullptr, with("account-1", std::string(129, 'n')));
	EXPECT_NE(nullptr, add(book, ",\"host_name\":\"" + host_255 + "\""));
	EXPECT_EQ(nullptr, add(book, ",\"host_name\":\"" + host_255 + "h\""));
	EXPECT_NE(nullptr,
		  add(service, ",\"health_path\":\"/h?full=1&x=%20\""));
	EXPECT_EQ(nullptr, add(service, ",\"health_path\":\"h\""));
	EXPECT_EQ(nullptr, add(service, ",\"health_path\":\"/h#x\""));
	EXPECT_EQ(nullptr, add(service, ",\"health_path\":\"/h x\""));
}

// Replaces @from in the document; @message is part of the expected error.
struct Fault {
	const char *from;
	const char *to;
	const char *message;
};

// Guards against a rule that is not checked, and against an error that does not
// name table, row, column, value and rule.
TEST(Config, ErrorOfEachRuleNamesItsLocation)
{
	static const Fault faults[] = {
		{ "\"service\":\"orders\",\"idempotent\":false",
		  "\"service\":\"ordrs\",\"idempotent\":false",
		  "routes row 2 (name \"book\"), column service: \"ordrs\" is "
		  "not a defined service" },
		{ "\"host\":\"h2\"", "\"host\":\"h3\"",
		  "backends row 2 (name \"o2\"), column host: \"h3\" is not a "
		  "defined host" },
		{ "\"version\":7", "\"version\":0",
		  "document, column version: 0 is not between 1 and "
		  "9223372036854775807" },
		{ "\"version\":7", "\"version\":7,\"hosts_version\":8",
		  "document, column hosts_version: 8 is not between 0 and 7" },
		{ "\"version\":7",
		  "\"version\":7,\"hosts_version\":3,"
		  "\"hosts_version_before\":3",
		  "document, column hosts_version_before: 3 is not between 0 "
		  "and 2" },
		{ "\"version\":7", "\"version\":7,\"hosts_version_before\":1",
		  "document, column hosts_version_before: 1 is not between 0 "
		  "and 0" },
		{ "\"name\":\"o2\"", "\"name\":\"o1\"",
		  "backends row 2 (name \"o1\"), column name: name is used "
		  "twice" },
		{ "\"name\":\"o1\"", "\"name\":\"o 1\"",
		  "backends row 1 (name \"o 1\"), column name: \"o 1\" has a "
		  "character that is not printable ASCII or is a space" },
		{ "\"name\":\"o1\"", "\"name\":\"\"",
		  "backends row 1 (name \"\"), column name: value is empty" },
		{ "\"weight\":0.5", "\"weight\":0",
		  "backends row 2 (name \"o2\"), column weight: 0 is not "
		  "between 0.001 and 1000000" },
		{ "\"weight\":0.5", "\"weight\":\"0.5\"",
		  "backends row 2 (name \"o2\"), column weight: value is not "
		  "a number" },
		{ "\"slots\":5", "\"slots\":0",
		  "backends row 1 (name \"o1\"), column slots: 0 is not "
		  "between 1 and 65535" },
		{ "\"max_connections\":5,", "\"max_connections\":4,",
		  "backends row 2 (name \"o2\"), column max_connections: 4 is "
		  "less than slots 5" },
		{ "http://127.0.0.1:8001", "http://127.0.0.1:8001/",
		  "backends row 1 (name \"o1\"), column url: "
		  "\"http://127.0.0.1:8001/\" is not http://IP:port" },
		{ "http://127.0.0.1:8001", "http://localhost:8001",
		  "is not http://IP:port" },
		{ "http://127.0.0.1:8001", "http://127.0.0.1:65536",
		  "is not http://IP:port" },
		{ "\"address\":\"127.0.0.2\"", "\"address\":\"host\"",
		  "hosts row 2 (name \"h2\"), column address: \"host\" is not "
		  "an IP number" },
		{ "\"address\":\"127.0.0.2\"", "\"address\":\"127.0.0.1\"",
		  "hosts row 2 (name \"h2\"), column data_port: address "
		  "127.0.0.1 port 7001 is used twice" },
		{ "\"data_port\":7001", "\"data_port\":0",
		  "hosts row 1 (name \"h1\"), column data_port: 0 is not "
		  "between 1 and 65535" },
		{ "\"curve_key\":\"\"", "\"curve_key\":\"x\"",
		  "hosts row 1 (name \"h1\"), column curve_key: value is not "
		  "empty or 40 Z85 digits" },
		{ "\"floor_percent\":60", "\"floor_percent\":101",
		  "services row 1 (name \"orders\"), column floor_percent: 101 "
		  "is not between 0 and 100" },
		{ "\"state\":\"leaving\"", "\"state\":\"gone\"",
		  "column state: \"gone\" is not in, leaving or out" },
		{ "\"access\":\"open\"", "\"access\":\"all\"",
		  "column access: \"all\" is not internal, open or "
		  "public" },
		{ "[\"POST\",\"PUT\"]", "[\"POST\",\"TRACE\"]",
		  "column methods: \"TRACE\" is not a supported method" },
		{ "[\"POST\",\"PUT\"]", "[\"POST\",\"GET\"]",
		  "routes row 4 (name \"book-get\"), column path_prefix: same "
		  "prefix and method as route \"book\"" },
		{ "\"/book/profile\"", "\"/book/../profile\"",
		  "routes row 3 (name \"profile\"), column path_prefix" },
		{ "\"/book/profile\"", "\"/book//\"", "column path_prefix" },
		{ "\"burst\":20", "\"burst\":0.5",
		  "accounts row 1 (name \"account-1\"), column burst: 0.5 is "
		  "not between 1 and 1000000000" },
		{ "\"burst\":20", "\"burst\":1e999", "document line" },
		{ "\"rate_per_s\":10.000000", "\"rate_per_s\":-1",
		  "column rate_per_s: -1 is not between 0 and 1000000000" },
		{ "\"burst\":20", "\"burst\":20,\"brust\":20",
		  "accounts row 1 (name \"account-1\"): unknown column "
		  "\"brust\"" },
		{ "\"burst\":20,", "",
		  "accounts row 1 (name \"account-1\"), column burst: value is "
		  "missing" },
		{ "\"burst\":20,", "\"burst\":20,\"burst\":20,",
		  "document line 6 column 228: duplicate object key" },
		{ "\"automation\":true", "\"automation\":1",
		  "document, column automation: value is not true or false" },
		{ ",\"idempotency", ",\"x\":1,\"idempotency",
		  "document: unknown field \"x\"" },
		{ ",\"idempotency", ",\"policies\":1,\"idempotency",
		  "document, column policies: value is not an object" },
		{ ",\"idempotency", ",\"policies\":{\"x\":1},\"idempotency",
		  "document, column policies: unknown policy \"x\"" },
		{ ",\"idempotency",
		  ",\"policies\":{\"rank_order\":2},\"idempotency",
		  "document, column policies: rank_order is not a whole number "
		  "from 0 to 1" },
	};

	for (const Fault &f : faults) {
		std::string why;

		EXPECT_FALSE(
			parse(replaced(Document().json(), f.from, f.to), &why));
		EXPECT_NE(std::string::npos, why.find(f.message))
			<< "want: " << f.message << "\nhave: " << why;
	}
	std::string why;
	Document d;
	d.hosts = d.backends = "";
	EXPECT_FALSE(parse(d.json(), &why));
	EXPECT_EQ("hosts: at least one host is needed", why);
}

// Guards against a policy that is lost or swapped on the way through a document,
// and against one that is in force without being asked for.
TEST(Config, PoliciesAreKept)
{
	std::string why;
	auto plain = parse(Document().json(), &why);
	auto c = parse(replaced(Document().json(), ",\"idempotency",
				",\"policies\":{\"report_bytes_per_s\":1500,"
				"\"place_by_cost\":1,\"rank_order\":1,"
				"\"reuse_ms\":100},\"idempotency"),
		       &why);

	ASSERT_TRUE(c) << why;
	char *json = bb_config_to_json(c.get());
	auto again = parse(json, &why);

	free(json);
	ASSERT_TRUE(again) << why;
	EXPECT_EQ(1500u, again->policies.report_bytes_per_s);
	EXPECT_EQ(1u, again->policies.place_by_cost);
	EXPECT_EQ(1u, again->policies.rank_order);
	EXPECT_EQ(100u, again->policies.reuse_ms);
	EXPECT_EQ(0u, plain->policies.report_bytes_per_s);
	EXPECT_EQ(0u, plain->policies.place_by_cost);
	EXPECT_EQ(0u, plain->policies.rank_order);
	EXPECT_EQ(0u, plain->policies.reuse_ms);
	EXPECT_EQ(4u, bb_config_diff(plain.get(), c.get(), nullptr, nullptr));
}

// Guards against an evacuation or a cold time that is lost on the way through a
// document, and against either where the document has none.
TEST(Config, EvacuationAndColdTimesAreKept)
{
	std::string why;
	auto plain = parse(Document().json(), &why);
	Document d;

	d.hosts.insert(d.hosts.find("}"), ",\"evacuated\":true");
	d.services.insert(d.services.find("}"),
			  ",\"warmup_ms\":3000,\"warmup_per_s\":11.5,"
			  "\"warmup_max\":24.5");
	auto c = parse(d.json(), &why);

	ASSERT_TRUE(c) << why;
	auto again = parse(text_of(c.get()), &why);

	ASSERT_TRUE(again) << why;
	EXPECT_TRUE(again->hosts[0].evacuated);
	EXPECT_FALSE(again->hosts[1].evacuated);
	EXPECT_EQ(3000u, again->services[0].warmup_ms);
	EXPECT_EQ(11.5, again->services[0].warmup_per_s);
	EXPECT_EQ(24.5, again->services[0].warmup_max);
	EXPECT_EQ(0, again->services[1].warmup_per_s);
	EXPECT_FALSE(plain->hosts[0].evacuated);
	EXPECT_EQ(std::string::npos, text_of(plain.get()).find("warmup"));
	EXPECT_EQ(std::string::npos, text_of(plain.get()).find("evacuated"));
	EXPECT_EQ(4u, bb_config_diff(plain.get(), c.get(), nullptr, nullptr));
	d.hosts.replace(d.hosts.find("\"evacuated\":true"), 16,
			"\"evacuated\":1");
	EXPECT_FALSE(parse(d.json(), &why));
}

// Guards against a key in an error message, which is logged: an operator may
// paste a key into any field.
TEST(Config, ErrorsShowNoKey)
{
	const std::string key = "bbk_secret";
	const std::string hash = hash_of("bbk_1");
	const std::string json = Document().json();
	std::string why;

	for (const std::string &bad :
	     { replaced(json, hash, key),
	       replaced(json, "\"" + hash + "\"", key),
	       replaced(json, "account-2", key + " "),
	       replaced(json, "\"burst\":20", "\"" + key + "\":1"),
	       replaced(json, "\"automation\"", "\"" + key + "\""),
	       replaced(json, "/book", key) }) {
		EXPECT_FALSE(parse(bad, &why));
		EXPECT_EQ(std::string::npos, why.find("secret")) << why;
	}
	EXPECT_FALSE(parse(replaced(json, hash_of("bbk_2"), hash), &why));
	EXPECT_EQ("accounts row 2 (name \"account-2\"), column key_hashes: "
		  "hash 1 is also in account \"account-1\"",
		  why);
}

// Guards against generated keys that are equal, or not found by their hash.
TEST(Keys, GeneratedKeyIsFoundByItsHash)
{
	char a[BB_KEY_TEXT_SIZE], b[BB_KEY_TEXT_SIZE];
	struct bb_error err;
	Document d;

	ASSERT_EQ(0, bb_key_generate(a, &err));
	ASSERT_EQ(0, bb_key_generate(b, &err));
	EXPECT_STRNE(a, b);
	EXPECT_EQ(BB_KEY_TEXT_SIZE - 1u, strlen(a));
	d.accounts = replaced(d.accounts, hash_of("bbk_2"), hash_of(a));
	Config c = parse(d.json());
	ASSERT_TRUE(c);
	EXPECT_EQ(1u, bb_config_find_key(c.get(), a, strlen(a)));
	EXPECT_EQ(BB_NO_ROW, bb_config_find_key(c.get(), b, strlen(b)));
}

static Config with_hosts(int version, int first, int nr, bool reversed = false)
{
	Document d;

	d.version = std::to_string(version);
	d.hosts = d.backends = "";
	for (int n = 0; n < nr; n++) {
		int i = reversed ? first + nr - 1 - n : first + n;

		d.hosts += (n ? "," : "") +
			   ("{\"name\":\"h" + std::to_string(i)) +
			   "\",\"region\":\"r\",\"zone\":\"z\",\"address\":"
			   "\"10.0.0." +
			   std::to_string(n + 1) +
			   "\",\"data_port\":1,\"control_port\":2}";
	}
	return parse(d.json());
}

// Guards against a change of the hosts after which a quorum of the old list and
// one of the new list need not share a host.
TEST(Config, SuccessorKeepsQuorumsOverlapping)
{
	struct bb_error err;
	auto check = [&](int first, int nr, int next_first, int next_nr) {
		Config a = with_hosts(1, first, nr);
		Config b = with_hosts(2, next_first, next_nr);

		return bb_config_check_successor(a.get(), b.get(), &err);
	};

	EXPECT_EQ(0, check(1, 20, 3, 20));
	EXPECT_EQ(-1, check(1, 20, 4, 20));
	EXPECT_STREQ("hosts: 3 of 20 hosts change in one step, at most 2 may "
		     "(10%, or one)",
		     err.message);
	EXPECT_EQ(0, check(1, 4, 2, 4));
	EXPECT_EQ(0, check(1, 3, 1, 4));
	EXPECT_EQ(0, check(1, 3, 1, 2));
	// {1,2,3} and {2,3,4}: quorums {1,2} and {3,4} have no common host.
	EXPECT_EQ(-1, check(1, 3, 2, 3));
	Config a = with_hosts(2, 1, 3);
	EXPECT_EQ(-1, bb_config_check_successor(a.get(), a.get(), &err));
	EXPECT_EQ(BB_ERROR_STALE, err.code);
}

// Guards against fields that claim more about earlier lists of hosts than is
// known, and against a document that was made from an old copy or replaces one:
// its fields would hide a change of the hosts from lenders.
TEST(Config, HostsVersionsAreDerived)
{
	// Version 12 replaces version 10. With derived values of 0, an error is
	// expected.
	static const struct {
		uint64_t old[2], stated[2], derived[2];
		bool changes;
	} cases[] = {
		{ { 6, 2 }, {}, { 6, 2 }, false },
		{ { 6, 2 }, { 6, 2 }, { 12, 6 }, true },
		{ { 6, 2 }, { 12, 10 }, { 12, 6 }, true },
		{ {}, {}, { 10, 0 }, false },
		{ {}, {}, { 12, 10 }, true },
		// Made from a copy older than version 6.
		{ { 6, 2 }, { 2, 0 }, {}, true },
		{ { 6, 2 }, { 12, 5 }, {}, false },
		// Made from version 11, which the directory lacks.
		{ { 6, 2 }, { 11, 6 }, {}, true },
		{ { 6, 2 }, { 12, 11 }, {}, false },
	};
	struct bb_error err;

	for (const auto &c : cases) {
		Config old = with_hosts(10, 1, 20);
		// Hosts in another order and with other addresses.
		Config next = with_hosts(12, c.changes ? 2 : 1, 20, true);

		old->hosts_version = c.old[0];
		old->hosts_version_before = c.old[1];
		next->hosts_version = c.stated[0];
		next->hosts_version_before = c.stated[1];
		ASSERT_EQ(c.derived[0] ? 0 : -1,
			  bb_config_set_hosts_versions(old.get(), next.get(),
						       &err))
			<< &c - cases;
		if (!c.derived[0])
			continue;
		EXPECT_EQ(c.derived[0], next->hosts_version) << &c - cases;
		EXPECT_EQ(c.derived[1], next->hosts_version_before);
		bb_config_set_hosts_versions(nullptr, next.get(), &err);
		EXPECT_EQ(12u, next->hosts_version);
		EXPECT_EQ(0u, next->hosts_version_before);
	}
}
