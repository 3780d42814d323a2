// A fleet of relays on a driven clock, with a registry, readers that follow the
// rules of the store's client, and faults between them.
#ifndef TEST_LIB_RELAY_FLEET_H
#define TEST_LIB_RELAY_FLEET_H

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/relay.h"
#include "config_fixture.h"

struct RelayFleet {
	// Time of a message between two hosts, and of an answer of the registry.
	static constexpr int64_t delay_us = 2 * BB_US_PER_MS;
	static constexpr int64_t registry_us = 8 * BB_US_PER_MS;
	// Watch of a node that no peer depends on.
	static constexpr int64_t long_watch_us = 2500 * BB_US_PER_MS;
	static constexpr int64_t step_us = 5 * BB_US_PER_MS;
	static constexpr int64_t apply_us = 2 * BB_US_PER_S;

	struct Item {
		std::string value;
		uint64_t revision;
		bool removed;
	};
	struct Registry {
		int64_t era = 1;
		uint64_t revision = 10;
		std::map<std::string, Item> items = { { "servers/1",
							{ "a", 10, false } } };
		uint64_t calls = 0;

		void put(const std::string &key, const std::string &value)
		{
			items[key] = { value, ++revision, false };
		}
		void remove(const std::string &key)
		{
			items[key] = { "", ++revision, true };
		}
	};
	enum Reading { NOTHING, LIST, WATCH, PEER };
	struct Node {
		RelayFleet *fleet = nullptr;
		uint32_t host = 0;
		struct bb_relay *relay = nullptr;
		Reading reading = NOTHING;
		int64_t era = -1;
		uint64_t revision = 0;
		bool direct = false, unavailable = false;
		int64_t started_us = 0, until_us = 0, next_us = 0;
		std::map<std::string, std::string> items;
		bool frozen = false;
		bool no_registry = false;
		// The watch in progress hears nothing, as after a compaction.
		bool deaf = false;
		uint64_t calls = 0;
	};
	struct Message {
		int64_t at_us;
		uint32_t from, to;
		std::string bytes;
		bool operator<(const Message &o) const
		{
			return at_us > o.at_us;
		}
	};

	int64_t now = 100 * BB_US_PER_S;
	Registry registry;
	std::vector<std::unique_ptr<Node>> nodes;
	std::priority_queue<Message> messages;
	std::mt19937 random{ 1 };
	double loss = 0;
	// Time after which a read of the registry times out, beyond its wait.
	int64_t slack_us = 300 * BB_US_PER_MS;
	uint64_t bytes = 0;
	// Zones whose messages to and from other zones are lost.
	std::set<uint32_t> cut_zones;
	Config config;
	std::string changed_answer;

	RelayFleet(int hosts, int zones, uint32_t hosts_per_reader = 32)
	{
		Document d;
		struct bb_error err;

		d.hosts = d.backends = "";
		for (int i = 0; i < hosts; i++) {
			std::string n = std::to_string(i);

			d.hosts += std::string(i ? "," : "") + "{\"name\":\"h" +
				   n + "\",\"region\":\"r\",\"zone\":\"z" +
				   std::to_string(i % zones) +
				   "\",\"address\":\"127.1." +
				   std::to_string(i / 250) + "." +
				   std::to_string(i % 250 + 1) +
				   "\",\"data_port\":7001,"
				   "\"control_port\":7002}";
		}
		std::string text = d.json();

		config.reset(bb_config_parse(text.data(), text.size(), &err));
		if (!config)
			throw std::runtime_error(err.message);
		for (int i = 0; i < hosts; i++) {
			nodes.push_back(std::make_unique<Node>());
			restart((uint32_t)i, hosts_per_reader);
		}
	}
	~RelayFleet()
	{
		for (auto &n : nodes)
			bb_relay_delete(n->relay);
	}
	void restart(uint32_t i, uint32_t hosts_per_reader = 32)
	{
		Node *n = nodes[i].get();
		struct bb_relay_options o = {};
		struct bb_relay_reader r = {};

		bb_relay_delete(n->relay);
		*n = Node();
		n->fleet = this;
		n->host = i;
		o.self = config->hosts[i].name;
		o.apply_us = apply_us;
		o.hosts_per_reader = hosts_per_reader;
		o.send = [](void *d, uint32_t to, const struct bb_message *m) {
			auto *n = (Node *)d;

			n->fleet->send(n->host, to, m);
		};
		o.alive = [](void *d, uint32_t host, int64_t) {
			return ((Node *)d)->fleet->is_alive(host);
		};
		o.data = n;
		n->relay = bb_relay_new(&o);
		r.answered = [](void *d,
				const struct bb_message_registry_changes *m) {
			((Node *)d)->fleet->relayed(*(Node *)d, m);
		};
		r.asked = [](void *d) {
			((Node *)d)->fleet->asked(*(Node *)d);
		};
		r.data = n;
		bb_relay_set_reader(n->relay, &r);
		bb_relay_set_config(n->relay, config.get());
		start(*n);
	}
	std::map<uint32_t, int64_t> frozen_since;
	void freeze(uint32_t i)
	{
		nodes[i]->frozen = true;
		frozen_since[i] = now;
	}
	// As gossip tells it: a frozen host counts as alive for 4 s.
	bool is_alive(uint32_t host)
	{
		return !nodes[host]->frozen ||
		       now - frozen_since[host] < 4 * BB_US_PER_S;
	}
	uint32_t zone(uint32_t host)
	{
		return config->hosts[host].zone_id;
	}
	void send(uint32_t from, uint32_t to, const struct bb_message *m)
	{
		struct bb_error err;
		size_t size;
		char *data = bb_wire_encode(m, &size, &err);

		if (!data)
			throw std::runtime_error(err.message);
		bytes += size;
		bool lost = std::uniform_real_distribution<>(0, 1)(random) <
			    loss;

		if (zone(from) != zone(to) &&
		    (cut_zones.count(zone(from)) || cut_zones.count(zone(to))))
			lost = true;
		if (!lost)
			messages.push({ now + delay_us, from, to,
					std::string(data, size) });
		free(data);
	}
	// The client of the registry, by the rules of platform/store.c.
	void start(Node &n)
	{
		int64_t watch_us = bb_relay_watch_us(n.relay, now);

		n.started_us = now;
		if (!n.revision) {
			n.reading = LIST;
			n.until_us = now + registry_us;
			count(n);
			return;
		}
		if (!n.unavailable && !n.direct &&
		    bb_relay_read(n.relay, n.era, n.revision, now)) {
			n.reading = PEER;
			return;
		}
		n.reading = WATCH;
		count(n);
		n.until_us = now + registry_us;
		if (!n.unavailable && !n.direct)
			n.until_us += watch_us ? watch_us : long_watch_us;
	}
	void count(Node &n)
	{
		n.calls++;
		registry.calls++;
	}
	void relayed(Node &n, const struct bb_message_registry_changes *m)
	{
		n.reading = NOTHING;
		n.direct = !m;
		for (size_t i = 0; m && i < m->items_nr; i++)
			note(n,
			     std::string(m->items[i].key.data,
					 m->items[i].key.size),
			     m->items[i].removed ? nullptr :
						   m->items[i].value.data,
			     m->items[i].value.size);
		if (m)
			n.revision = m->revision;
		start(n);
	}
	void asked(Node &n)
	{
		if (n.reading == PEER || n.reading == LIST || n.unavailable)
			return;
		n.direct = true;
		start(n);
	}
	void note(Node &n, const std::string &key, const char *value,
		  size_t size)
	{
		if (value)
			n.items[key] = std::string(value, size);
		else
			n.items.erase(key);
	}
	void read(Node &n, uint64_t after)
	{
		for (auto &i : registry.items) {
			struct bb_registry_item item = {
				{ i.first.data(), i.first.size() },
				{ i.second.value.data(),
				  i.second.value.size() },
				i.second.revision,
				i.second.removed
			};

			if (i.second.revision <= after)
				continue;
			bb_relay_put(n.relay, &item, now);
			note(n, i.first,
			     i.second.removed ? nullptr : i.second.value.data(),
			     i.second.value.size());
		}
		n.revision = registry.revision;
		n.direct = n.unavailable = false;
		bb_relay_confirm(n.relay, n.era, n.revision, now);
	}
	void step_reader(Node &n)
	{
		bool due = now >= n.until_us;

		if (n.reading == NOTHING) {
			if (now >= n.next_us)
				start(n);
			return;
		}
		if (n.reading == PEER)
			return;
		if (n.no_registry || n.deaf) {
			// Silence, until the request times out.
			if (now < n.until_us + slack_us)
				return;
			bb_relay_read_failed(n.relay, n.unavailable, now);
			n.unavailable = true;
			n.deaf = false;
			n.reading = NOTHING;
			n.next_us = now + 400 * BB_US_PER_MS;
			return;
		}
		if (n.era != registry.era && n.era >= 0 &&
		    (due || registry.revision > n.revision)) {
			bb_relay_forget(n.relay, now);
			n.era = registry.era;
			n.revision = 0;
			n.items.clear();
			start(n);
			return;
		}
		if (n.reading == LIST && due) {
			n.era = registry.era;
			bb_relay_begin_list(n.relay);
			uint64_t at = registry.revision;
			n.revision = 0;
			for (auto &i : registry.items)
				if (!i.second.removed) {
					struct bb_registry_item item = {
						{ i.first.data(),
						  i.first.size() },
						{ i.second.value.data(),
						  i.second.value.size() },
						i.second.revision,
						false
					};

					bb_relay_put(n.relay, &item, now);
					n.items[i.first] = i.second.value;
				}
			bb_relay_end_list(n.relay, at, now);
			n.revision = at;
			n.direct = n.unavailable = false;
			bb_relay_confirm(n.relay, n.era, at, now);
			start(n);
		} else if (n.reading == WATCH &&
			   (due || (registry.revision > n.revision &&
				    now - n.started_us >= registry_us))) {
			read(n, n.revision);
			n.reading = NOTHING;
			n.next_us =
				std::max(n.started_us + bb_relay_interval_us(
								n.relay, now),
					 now + 100 * BB_US_PER_MS);
		}
	}
	void run(int64_t us)
	{
		for (int64_t end = now + us; now < end; now += step_us)
			step();
	}
	void step()
	{
		while (!messages.empty() && messages.top().at_us <= now) {
			Message m = messages.top();

			messages.pop();
			deliver(m);
		}
		for (auto &n : nodes) {
			if (n->frozen)
				continue;
			step_reader(*n);
			if (now / step_us % 10 == n->host % 10)
				bb_relay_tick(n->relay, now);
		}
	}
	void deliver(const Message &m)
	{
		if (nodes[m.to]->frozen)
			return;
		struct bb_decoded_message *d =
			bb_wire_decode(m.bytes.data(), m.bytes.size(), nullptr);

		if (!d)
			throw std::runtime_error("message cannot be decoded");
		bb_relay_receive(nodes[m.to]->relay, m.from,
				 bb_decoded_message_get(d), now);
		bb_decoded_message_delete(d);
	}
	// Time until all hosts but the given ones have a value; -1 if not within
	// the limit.
	int64_t spread(const std::string &key, const std::string &value,
		       int64_t limit_us, const std::set<uint32_t> &without = {})
	{
		int64_t start = now;

		registry.put(key, value);
		while (now - start <= limit_us) {
			if (all_have(key, value, without))
				return now - start;
			run(step_us);
		}
		return -1;
	}
	bool all_have(const std::string &key, const std::string &value,
		      const std::set<uint32_t> &without = {})
	{
		for (auto &n : nodes)
			if (!without.count(n->host)) {
				auto i = n->items.find(key);

				if (i == n->items.end() || i->second != value)
					return false;
			}
		return true;
	}
	std::string upstream(uint32_t i)
	{
		struct bb_relay_status s;

		bb_relay_status(nodes[i]->relay, now, &s);
		return s.upstream ? s.upstream : "";
	}
	std::set<uint32_t> readers()
	{
		std::set<uint32_t> r;

		for (auto &n : nodes)
			if (!n->frozen && upstream(n->host).empty())
				r.insert(n->host);
		return r;
	}
	double calls_per_node_second(int seconds)
	{
		uint64_t before = registry.calls;

		run(seconds * BB_US_PER_S);
		return (double)(registry.calls - before) / seconds /
		       (double)nodes.size();
	}
};

#endif
