// An entry node and four other nodes, which the test simulates.
#ifndef TEST_LIB_ENTRY_FIXTURE_H
#define TEST_LIB_ENTRY_FIXTURE_H

#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <microhttpd.h>

#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "baobabward/clock.h"
#include "config_fixture.h"

extern "C" {
#include "libnode/entry_private.h"
}

// Fields of an EXECUTE that was sent.
struct Execute {
	uint32_t host;
	struct bb_request_id id;
	uint64_t incarnation;
	std::string backend;
	bool may_wait;
	uint32_t limit_milli;
	int64_t cost_us;
};

// Load of a backend server that another node reports.
static inline struct bb_load load_of(uint32_t in_flight, uint32_t slots,
				     int64_t avoid_us)
{
	return { in_flight, 0, slots, avoid_us, 0, 0 };
}

// The entry side on host h0 of five hosts with one backend server each.
struct Entry {
	struct bb_snapshots *snapshots = bb_snapshots_new("h0");
	struct bb_sessions *sessions = bb_sessions_new();
	std::map<uint32_t, int> hellos;
	std::vector<Execute> executes;
	// Parts of bodies that were sent.
	std::vector<std::string> parts;
	struct bb_answer answer = {};
	bool finished = false;
	struct bb_entry *e;
	int64_t now = 1000 * BB_US_PER_S;
	// More members of the document, with a comma before each.
	std::string extra;
	// Policies of the configuration.
	std::string policies;
	// Largest body that can be sent to other nodes, and the number of
	// requests that were larger.
	size_t largest_body = SIZE_MAX;
	int unfit = 0;
	// Body of the requests that are submitted.
	std::string body;

	explicit Entry(struct bb_entry_options o = {})
	{
		o.incarnation = 1;
		o.sessions = sessions;
		o.send = [](void *data, uint32_t host,
			    const struct bb_message *m, struct bb_error *err) {
			return ((Entry *)data)->sent(host, m, err);
		};
		o.is_connected = [](void *, uint32_t) { return true; };
		o.finished = [](void *data, struct bb_call *c) {
			((Entry *)data)->answered(c);
		};
		o.data = this;
		e = bb_entry_new(&o);
		configure(1, { 0, 1, 2, 3, 4 });
	}
	~Entry()
	{
		bb_entry_delete(e);
		bb_sessions_delete(sessions);
		bb_snapshots_delete(snapshots);
	}
	// Sets a configuration with hosts and backend servers in this order.
	void configure(int version, const std::vector<int> &order,
		       int64_t started_ms = 1000)
	{
		struct bb_snapshot *s;
		Document d;

		d.version = std::to_string(version);
		d.extra = extra + policies;
		d.hosts = d.backends = "";
		for (int i : order) {
			std::string n = std::to_string(i);

			d.hosts += std::string(d.hosts.empty() ? "" : ",") +
				   "{\"name\":\"h" + n +
				   "\",\"region\":\"r\",\"zone\":\"z\","
				   "\"address\":\"127.0.0.1\",\"data_port\":" +
				   std::to_string(7000 + 2 * i) +
				   ",\"control_port\":" +
				   std::to_string(7001 + 2 * i) + "}";
			d.backends +=
				std::string(d.backends.empty() ? "" : ",") +
				"{\"name\":\"o" + n + "\",\"host\":\"h" + n +
				"\",\"service\":\"orders\",\"url\":"
				"\"http://127.0.0.1:" +
				std::to_string(8000 + i) +
				"\",\"weight\":1,\"slots\":5,"
				"\"max_connections\":9,\"state\":\"in\","
				"\"started_ms\":" +
				std::to_string(started_ms) + "}";
		}
		std::string json = d.json();
		struct bb_error err = {};
		struct bb_config *c =
			bb_config_parse(json.data(), json.size(), &err);

		ASSERT_NE(nullptr, c) << err.message;
		ASSERT_TRUE(bb_snapshots_swap(snapshots, c));
		s = bb_snapshots_get(snapshots);
		bb_entry_configure(e, s);
		bb_snapshot_put(s);
	}
	int sent(uint32_t host, const struct bb_message *m,
		 struct bb_error *err)
	{
		bool is_large = m->type == BB_MESSAGE_EXECUTE_LARGE;
		const struct bb_message_execute &x =
			is_large ? m->execute_large.execute : m->execute;

		if (m->type == BB_MESSAGE_BODY_PART)
			parts.push_back({ m->body_part.bytes.data,
					  m->body_part.bytes.size });
		if (m->type == BB_MESSAGE_EXECUTE &&
		    x.body.size > largest_body) {
			unfit++;
			return bb_error_set(err, BB_ERROR_INVALID,
					    "field body is over its limit");
		}

		if (m->type == BB_MESSAGE_HELLO)
			hellos[host]++;
		if (m->type == BB_MESSAGE_EXECUTE || is_large)
			executes.push_back({ host,
					     x.id,
					     x.receiver_incarnation,
					     { x.backend.data, x.backend.size },
					     x.may_wait,
					     x.limit_milli,
					     x.cost_us });
		return 0;
	}
	void answered(struct bb_call *c)
	{
		answer = c->answer;
		finished = true;
		bb_call_delete(c);
	}
	// Starts a call on the route named @route with a deadline in
	// @timeout_us. Returns NULL if it was answered at once.
	struct bb_attempts *submit(const char *route, int64_t timeout_us)
	{
		struct bb_call *c = bb_call_new(NULL, e->snapshot);

		c->route = bb_config_find_route(e->snapshot->config, route,
						strlen(route));
		c->service = bb_call_route(c)->service;
		c->method = g_strdup("GET");
		c->target = g_strdup("/book");
		c->deadline_us = bb_clock_now_us() + timeout_us;
		g_byte_array_append(c->body, (const guint8 *)body.data(),
				    (guint)body.size());
		g_snprintf(c->id, sizeof(c->id), "test");
		bb_entry_submit(e, c);
		return finished ? NULL : c->attempts;
	}
	// Answers the last HELLO to the node on @host.
	void welcome(uint32_t host)
	{
		struct bb_session *s = bb_sessions_find(
			sessions, e->snapshot->config->hosts[host].name);
		struct bb_message_welcome w = {};

		w.nonce = s->nonce;
		w.incarnation = 100 + host;
		ASSERT_TRUE(bb_session_welcome(s, &w, bb_clock_now_us()));
		bb_entry_welcome(e, host);
	}
	// Answers the last HELLO to the node on @host with the load of the
	// backend server beside it.
	void welcome_with(uint32_t host, const struct bb_load &load)
	{
		const char *name = e->snapshot->config->hosts[host].name;
		struct bb_session *s = bb_sessions_find(sessions, name);
		std::string backend = "o" + std::string(name + 1);
		struct bb_backend_report r = {
			{ backend.data(), backend.size() }, 1000, load
		};
		struct bb_message_welcome w = {};

		w.nonce = s->nonce;
		w.incarnation = 100 + host;
		w.receiver_clock_us = 5 * BB_US_PER_S;
		w.reports = &r;
		w.reports_nr = 1;
		ASSERT_TRUE(bb_session_welcome(s, &w, bb_clock_now_us()));
		bb_entry_reports(e, host, w.incarnation, w.receiver_clock_us,
				 w.reports, w.reports_nr);
		bb_entry_welcome(e, host);
	}
	void welcome_all()
	{
		for (uint32_t i = 0; i < 5; i++) {
			struct bb_message m;

			if (i == e->snapshot->self)
				continue;
			bb_session_hello(
				bb_sessions_find(
					sessions,
					e->snapshot->config->hosts[i].name),
				1, 1, bb_clock_now_us(), &m);
			welcome(i);
		}
	}
	// The node of the last EXECUTE, or the one on @host, asks for a part.
	void read_body(uint32_t offset, uint32_t size,
		       uint32_t host = BB_NO_ROW)
	{
		struct bb_message_body_read r = {};

		r.id = executes.back().id;
		r.receiver_incarnation = executes.back().incarnation;
		r.offset = offset;
		r.size = size;
		bb_entry_body_read(
			e, host == BB_NO_ROW ? executes.back().host : host, &r);
	}
	// Answers the last EXECUTE with @verdict and @reason.
	void refuse_last(enum bb_reason reason,
			 enum bb_verdict verdict = BB_VERDICT_NOT_RUN)
	{
		struct bb_message_result r = {};

		r.id = executes.back().id;
		r.receiver_incarnation = executes.back().incarnation;
		r.verdict = verdict;
		r.reason = reason;
		bb_entry_result(e, &r);
	}
	// Answers the last EXECUTE with status 200 and these headers.
	void
	answer_last(const std::vector<std::pair<std::string, std::string>> &h)
	{
		std::vector<struct bb_header> headers;
		struct bb_message_result r = {};

		for (auto &i : h)
			headers.push_back(
				{ { i.first.data(), i.first.size() },
				  { i.second.data(), i.second.size() } });
		r.id = executes.back().id;
		r.receiver_incarnation = executes.back().incarnation;
		r.verdict = BB_VERDICT_RAN;
		r.status = 200;
		r.headers = headers.data();
		r.headers_nr = headers.size();
		bb_entry_result(e, &r);
	}
	uint32_t host(const std::string &name) const
	{
		return bb_config_find_host(e->snapshot->config, name.data(),
					   name.size());
	}
	struct bb_balance *balance() const
	{
		return e->balances[bb_config_find_service(e->snapshot->config,
							  "orders", 6)];
	}
	// Makes the own host leave, so that only backend servers of other hosts
	// get requests.
	void leave_own_host()
	{
		GHashTable *leaving = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);

		g_hash_table_add(leaving, g_strdup("h0"));
		bb_entry_set_leaving(e, leaving);
	}
	// Records that the node on the named host did not answer.
	void record_timeouts(const std::string &name, int times = 2)
	{
		while (times--)
			bb_entry_record_path_timeout(e, host(name), now, now);
	}
	// Returns the names of the backend servers that the entry side chooses.
	std::set<std::string> chosen_backends()
	{
		std::set<std::string> names;

		bb_balance_filter_paths(balance(), e->paths, true, now);
		for (int i = 0; i < 400; i++) {
			auto c = bb_balance_choose(balance(), NULL, 0, now);

			if (!c.path)
				continue;
			names.insert(
				e->snapshot->config->backends[c.backend].name);
			bb_path_release(c.path);
		}
		return names;
	}
	// Advances the clock by @us, with a tick every 20 ms.
	void run_ticks(int64_t us)
	{
		for (int64_t end = now + us; now < end;
		     now += 20 * BB_US_PER_MS)
			bb_entry_tick(e, now);
	}
};

#endif
