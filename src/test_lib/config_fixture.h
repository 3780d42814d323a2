// Configuration documents for tests.
#ifndef TEST_LIB_CONFIG_FIXTURE_H
#define TEST_LIB_CONFIG_FIXTURE_H

#include <cstdlib>
#include <memory>
#include <string>

#include "baobabward/config.h"
#include "baobabward/keys.h"

struct ConfigDeleter {
	void operator()(struct bb_config *c) const
	{
		bb_config_delete(c);
	}
};
using Config = std::unique_ptr<struct bb_config, ConfigDeleter>;

static inline std::string hash_of(const std::string &key)
{
	char hex[BB_KEY_HASH_HEX_SIZE];

	bb_key_hash_hex(key.data(), key.size(), hex);
	return hex;
}

static inline std::string account_row(int i, double rate)
{
	std::string n = std::to_string(i);

	return "{\"name\":\"account-" + n +
	       "\",\"rate_per_s\":" + std::to_string(rate) +
	       ",\"burst\":20,\"weight\":1,\"key_hashes\":[\"" +
	       hash_of("bbk_" + n) + "\"]}";
}

// A valid document; tests replace its members, which are JSON text.
struct Document {
	std::string version = "7";
	std::string extra;
	std::string hosts =
		R"({"name":"h1","region":"r","zone":"za","address":"127.0.0.1","data_port":7001,"control_port":7002,"curve_key":""},
{"name":"h2","region":"r","zone":"zb","address":"127.0.0.2","data_port":7001,"control_port":7002})";
	std::string services =
		R"({"name":"orders","floor_percent":60},{"name":"lookup","floor_percent":50})";
	std::string backends =
		R"({"name":"o1","host":"h1","service":"orders","url":"http://127.0.0.1:8001","weight":1,"slots":5,"max_connections":330,"state":"in"},
{"name":"o2","host":"h2","service":"orders","url":"http://[::1]:8002","weight":0.5,"slots":5,"max_connections":5,"state":"leaving"})";
	std::string routes =
		R"({"name":"root","path_prefix":"/","methods":["GET"],"service":"lookup","idempotent":true,"access":"internal","max_body_bytes":0,"timeout_ms":1000},
{"name":"book","path_prefix":"/book","methods":["POST","PUT"],"service":"orders","idempotent":false,"access":"open","max_body_bytes":65536,"timeout_ms":2000},
{"name":"profile","path_prefix":"/book/profile","methods":["GET"],"service":"lookup","idempotent":true,"access":"open","max_body_bytes":65536,"timeout_ms":2000},
{"name":"book-get","path_prefix":"/book","methods":["GET"],"service":"orders","idempotent":true,"access":"open","max_body_bytes":65536,"timeout_ms":2000})";
	std::string accounts = account_row(1, 10) + "," + account_row(2, 2.5);

	std::string json() const
	{
		return "{\"version\":" + version +
		       ",\"automation\":true,\"idempotency_window_ms\":60000" +
		       extra + ",\"hosts\":[" + hosts + "],\"services\":[" +
		       services + "],\"backends\":[" + backends +
		       "],\"routes\":[" + routes + "],\"accounts\":[" +
		       accounts + "]}";
	}
};

// Document with one service of several backend servers, each on its own host.
static inline std::string pool_document(int servers)
{
	Document d;

	d.hosts = d.backends = "";
	for (int i = 0; i < servers; i++) {
		std::string n = std::to_string(i), comma = i ? "," : "";

		d.hosts += comma + "{\"name\":\"h" + n +
			   "\",\"region\":\"r\",\"zone\":\"z\",\"address\":"
			   "\"127.0.0." +
			   std::to_string(i + 1) +
			   "\",\"data_port\":7001,\"control_port\":7002}";
		d.backends += comma + "{\"name\":\"b" + n + "\",\"host\":\"h" +
			      n +
			      "\",\"service\":\"orders\",\"url\":\"http://"
			      "127.0.0.1:8001\",\"weight\":1,\"slots\":5,"
			      "\"max_connections\":330,\"state\":\"in\"}";
	}
	return d.json();
}

static inline Config parse(const std::string &json, std::string *why = nullptr)
{
	struct bb_error err = {};
	Config c(bb_config_parse(json.data(), json.size(), &err));

	if (why)
		*why = err.message;
	return c;
}

// A snapshot as text, to compare all values of two snapshots.
static inline std::string text_of(const struct bb_config *c)
{
	char *json = bb_config_to_json(c);
	std::string s(json);

	free(json);
	return s;
}

#endif
