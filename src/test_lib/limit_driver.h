/*
 * Simulation of the limit modules of many nodes in one process on a simulated
 * clock, with delayed, lost and repeated messages, one-way partitions, pauses,
 * restarts, differing views of liveness, clock drift and configurations that
 * propagate slowly. Simple checkers verify the rate and burst in every window
 * and that the shares held of a group never exceed the whole. Times are in
 * microseconds.
 */
#ifndef BB_LIMIT_DRIVER_H
#define BB_LIMIT_DRIVER_H

#include <glib.h>
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/limit.h"
#include "baobabward/reserve.h"

namespace limit_driver
{

const int64_t MS = BB_US_PER_MS;
const int64_t SECOND = BB_US_PER_S;
// Time by which one step advances the clock.
const int64_t STEP_US = 5 * MS;
// Longest wait of a request for a token.
const int64_t WAIT_US = 500 * MS;
// Interval of ticks, of liveness exchange and of the checkers' samples.
const int64_t SAMPLE_US = 100 * MS;

// A configuration that is made without the parser.
struct Document {
	bb_config c = {};
	std::vector<bb_host> hosts;
	// Number of the node of each host.
	std::vector<int> ids;
	std::vector<bb_account> accounts;
	std::deque<std::string> names;

	Document(uint64_t version, const std::vector<std::string> &host_names,
		 const std::vector<std::string> &account_names, double rate,
		 double burst, uint64_t hosts_version, uint64_t before)
	{
		for (const std::string &n : host_names) {
			bb_host h = {};

			names.push_back(n);
			h.name = names.back().data();
			hosts.push_back(h);
			ids.push_back(atoi(h.name + 1));
		}
		for (const std::string &n : account_names) {
			bb_account a = {};

			names.push_back(n);
			a.name = names.back().data();
			a.rate_per_s = rate;
			a.burst = burst;
			accounts.push_back(a);
		}
		c.version = version;
		c.automation = true;
		c.hosts_version = hosts_version;
		c.hosts_version_before = before;
		c.hosts = hosts.data();
		c.hosts_nr = hosts.size();
		c.accounts = accounts.data();
		c.accounts_nr = accounts.size();
	}

	int host(const std::string &name) const
	{
		for (size_t i = 0; i < hosts.size(); i++)
			if (name == hosts[i].name)
				return i;
		return -1;
	}
};

inline uint32_t find_account(const bb_config *c, const char *name, size_t size)
{
	for (size_t i = 0; i < c->accounts_nr; i++)
		if (std::string(name, size) == c->accounts[i].name)
			return i;
	return BB_NO_ROW;
}

// A message on its way, with copies of the lists that it points to.
struct QueuedMessage {
	int64_t at;
	int from;
	int to;
	uint64_t to_incarnation;
	bb_message m;
	std::vector<uint32_t> groups;
	std::vector<bb_lease_grant> leases;
	std::vector<bb_draw> draws;
	std::vector<std::string> names;
	std::vector<bb_draw_grant> grants;

	QueuedMessage(int64_t at, int from, int to, const bb_message *src)
	    : at(at), from(from), to(to), to_incarnation(0), m(*src)
	{
		if (m.type == BB_MESSAGE_LEASE_REQUEST)
			groups.assign(m.lease_request.groups,
				      m.lease_request.groups +
					      m.lease_request.groups_nr);
		if (m.type == BB_MESSAGE_LEASE_RELEASE)
			groups.assign(m.lease_release.groups,
				      m.lease_release.groups +
					      m.lease_release.groups_nr);
		if (m.type == BB_MESSAGE_LEASE_GRANT)
			leases.assign(m.lease_grant.grants,
				      m.lease_grant.grants +
					      m.lease_grant.grants_nr);
		if (m.type == BB_MESSAGE_DRAW_GRANT)
			grants.assign(m.draw_grant.grants,
				      m.draw_grant.grants +
					      m.draw_grant.grants_nr);
		if (m.type == BB_MESSAGE_DRAW)
			draws.assign(m.draw.draws,
				     m.draw.draws + m.draw.draws_nr);
		for (const bb_draw &d : draws)
			names.emplace_back(d.account.data, d.account.size);
	}

	const bb_message *message()
	{
		for (size_t i = 0; i < draws.size(); i++)
			draws[i].account = { names[i].data(), names[i].size() };
		if (m.type == BB_MESSAGE_LEASE_REQUEST)
			m.lease_request.groups = groups.data();
		if (m.type == BB_MESSAGE_LEASE_RELEASE)
			m.lease_release.groups = groups.data();
		if (m.type == BB_MESSAGE_LEASE_GRANT)
			m.lease_grant.grants = leases.data();
		if (m.type == BB_MESSAGE_DRAW)
			m.draw.draws = draws.data();
		if (m.type == BB_MESSAGE_DRAW_GRANT)
			m.draw_grant.grants = grants.data();
		return &m;
	}
};

// A request that waits for a token until a time on the node's clock.
struct Waiter {
	std::string account;
	int64_t deadline_us;
	bool waited;
};

// When a node last heard from a peer, and the highest version it had.
struct Liveness {
	int64_t at = INT64_MIN / 2;
	uint64_t version = 0;
};

class Fleet;

// One node with its clock, its configuration and its modules.
struct Node {
	Fleet *fleet;
	int id;
	std::string name;
	uint64_t incarnation = 0;
	double drift = 0;
	int64_t offset_us = 0;
	int64_t paused_until_us = 0;
	bool up = false;
	bool believes_all_dead = false;
	std::shared_ptr<Document> doc;
	std::vector<Liveness> liveness;
	std::vector<Waiter> waiters;
	bb_lender *lender = nullptr;
	bb_holder *holder = nullptr;
	bb_grantor *grantor = nullptr;
	bb_drawer *drawer = nullptr;
	bb_reserve *reserve = nullptr;
	// Earlier configurations are kept, as under epoch-based reclamation.
	std::vector<std::shared_ptr<Document>> old_docs;

	int64_t local() const;
	bool paused() const;
};

// @spare is the number of nodes that are not in the first configuration. The
// ratios are probabilities for each message; a late one is delayed by 12 s
// at most. With @ranked, groups are held by rank instead of by lease, a request
// that finds no token may spend the reserve of its node, and the exact checks of
// windows and shares, which hold for leases only, are left out. A node counts as
// dead @alive_us after its last sign of life. @policy is rank_order of the
// configuration.
struct Options {
	int nodes = 5;
	uint32_t holders = BB_LEASE_HOLDERS;
	int spare = 0;
	double rate = 20;
	double burst = 10;
	int64_t delay_max_us = 5 * MS;
	double loss_ratio = 0;
	double repeat_ratio = 0;
	double late_ratio = 0;
	int64_t drift_ppm = 10000;
	bool drift = true;
	int64_t report_idle_us = 0;
	std::vector<std::string> accounts = { "a" };
	bool ranked = false;
	bool policy = false;
	int64_t alive_us = 3 * SECOND;
};

// Requests so far.
struct Counters {
	long asked = 0;
	long admitted = 0;
	long refused = 0;
};

// The nodes, the network between them and the checkers; @violation is the first
// failed check, empty if there is none. @cut holds the one-way partitions, by
// sender and receiver.
class Fleet
{
      public:
	Options o;
	GRand *rnd;
	int64_t now = 0;
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<std::vector<bool>> cut;
	std::vector<std::shared_ptr<Document>> published;
	std::multimap<int64_t, std::shared_ptr<QueuedMessage>> net;
	std::map<std::string, std::vector<int64_t>> admitted;
	Counters count;
	// Called for each request that is refused, with its account and whether
	// it waited for its whole time.
	std::function<void(const std::string &, bool)> on_refused;
	uint64_t incarnations = 0;
	long messages = 0;
	std::string violation;
	// Highest rate and burst at a node with leases, one entry for
	// each SAMPLE_US.
	std::map<std::string, std::vector<double>> rates, bursts;
	int64_t sampled_us = -SAMPLE_US;
	int64_t ticked = -SAMPLE_US;

	Fleet(const Options &options, uint32_t seed)
	    : o(options), rnd(g_rand_new_with_seed(seed))
	{
		int all = o.nodes + o.spare;
		std::vector<std::string> hosts;

		cut.assign(all, std::vector<bool>(all, false));
		for (int i = 0; i < o.nodes; i++)
			hosts.push_back("h" + std::to_string(i));
		publish(hosts, o.rate, o.burst);
		for (int i = 0; i < all; i++) {
			nodes.emplace_back(new Node());
			nodes[i]->fleet = this;
			nodes[i]->id = i;
			nodes[i]->name = "h" + std::to_string(i);
			if (o.drift)
				nodes[i]->drift =
					g_rand_double_range(rnd, -0.01, 0.01);
			nodes[i]->offset_us =
				g_rand_int_range(rnd, 0, 1000000000);
			start(i, published.back());
		}
	}

	~Fleet()
	{
		for (auto &n : nodes)
			stop(n->id);
		g_rand_free(rnd);
	}

	double random()
	{
		return g_rand_double(rnd);
	}

	int pick(int n)
	{
		return g_rand_int_range(rnd, 0, n);
	}

	std::shared_ptr<Document> publish(const std::vector<std::string> &hosts,
					  double rate, double burst,
					  int skip = 0)
	{
		uint64_t version = 1;
		uint64_t changed = 1, before = 0;

		if (!published.empty()) {
			const Document &last = *published.back();
			bool same = last.hosts.size() == hosts.size();

			version = last.c.version + 1 + skip;
			for (size_t i = 0; same && i < hosts.size(); i++)
				same = hosts[i] == last.hosts[i].name;
			changed = same ? last.c.hosts_version : version;
			before = same ? last.c.hosts_version_before :
					last.c.hosts_version;
		}
		published.push_back(std::make_shared<Document>(
			version, hosts, o.accounts, rate, burst, changed,
			before));
		published.back()->c.policies.rank_order = o.policy;
		return published.back();
	}

	void start(int i, const std::shared_ptr<Document> &doc);
	void stop(int i);
	void apply(Node *n, const std::shared_ptr<Document> &doc);
	void send(Node *from, uint32_t host, const bb_message *m);
	void request(int i, const std::string &account);
	void request_later(int i, const std::string &account);
	void retry(Node *n);
	bool spend_reserve(Node *n, const std::string &account);
	void refuse(const std::string &account, bool late);
	void admit(const std::string &account);
	void exchange_liveness();
	void sample_limits();
	void check_shares();
	void max_limits(const std::string &a, double *rate, double *burst);
	void deliver();
	void step();

	void run(int64_t us)
	{
		for (int64_t end = now + us; now < end;)
			step();
	}

	// Load of @per_s requests per second on @nr nodes from @first on.
	void load(int64_t us, double per_s, int first, int nr)
	{
		for (int64_t end = now + us; now < end;) {
			if (random() < per_s * STEP_US / SECOND)
				request(first + pick(nr),
					o.accounts[pick(o.accounts.size())]);
			step();
		}
	}
};

inline int64_t Node::local() const
{
	return offset_us + fleet->now + (int64_t)(fleet->now * drift);
}

inline bool Node::paused() const
{
	return !up || fleet->now < paused_until_us;
}

inline int quorum_size(size_t hosts)
{
	return (hosts * 6 + 9) / 10;
}

inline bool may_lend(void *data, int64_t now_us)
{
	Node *n = static_cast<Node *>(data);
	int fresh = 0;

	for (const Liveness &e : n->liveness)
		if (e.version > n->doc->c.version)
			return false;
	for (int peer : n->doc->ids) {
		fresh += peer == n->id ||
			 now_us - n->liveness[peer].at < BB_LEASE_FRESHNESS_US;
	}
	return n->doc->host(n->name) >= 0 &&
	       fresh >= quorum_size(n->doc->hosts.size());
}

inline bool quorum_accepted(void *data, uint64_t version)
{
	Node *n = static_cast<Node *>(data);
	int nr = 0;

	for (int peer : n->doc->ids) {
		nr += peer == n->id ? n->doc->c.version >= version :
				      n->liveness[peer].version >= version;
	}
	return nr >= quorum_size(n->doc->hosts.size());
}

inline bool alive(void *data, uint32_t host, int64_t now_us)
{
	Node *n = static_cast<Node *>(data);
	int peer = n->doc->ids[host];

	if (peer == n->id)
		return true;
	return !n->believes_all_dead &&
	       now_us - n->liveness[peer].at < n->fleet->o.alive_us;
}

inline uint32_t reachable_permille(void *data, int64_t now_us)
{
	Node *n = static_cast<Node *>(data);
	uint32_t hosts = n->doc->hosts.size(), nr = 0;

	for (uint32_t i = 0; i < hosts; i++)
		nr += alive(data, i, now_us);
	return 1000 * nr / hosts;
}

inline void send_message(void *data, uint32_t host, const bb_message *m)
{
	Node *n = static_cast<Node *>(data);

	n->fleet->send(n, host, m);
}

inline void Fleet::start(int i, const std::shared_ptr<Document> &doc)
{
	Node *n = nodes[i].get();
	bb_lender_options lender_options = {};
	bb_holder_options holder_options = {};
	bb_grantor_options grantor_options = {};
	bb_drawer_options drawer_options = {};

	n->incarnation = ++incarnations;
	n->up = true;
	n->liveness.assign(cut.size() + 64, Liveness());
	lender_options.self = holder_options.self = drawer_options.self =
		n->name.c_str();
	lender_options.incarnation = holder_options.incarnation =
		grantor_options.incarnation = drawer_options.incarnation =
			n->incarnation;
	lender_options.data = holder_options.data = grantor_options.data =
		drawer_options.data = n;
	lender_options.alive = holder_options.alive = drawer_options.alive =
		alive;
	lender_options.send = holder_options.send = grantor_options.send =
		drawer_options.send = send_message;
	lender_options.drift_ppm = holder_options.drift_ppm =
		grantor_options.drift_ppm = drawer_options.drift_ppm =
			o.drift_ppm;
	lender_options.may_lend = may_lend;
	lender_options.quorum_accepted = quorum_accepted;
	grantor_options.find_account = find_account;
	drawer_options.report_idle_us = o.report_idle_us;
	if (o.ranked)
		holder_options.reachable_permille = reachable_permille;
	n->reserve = bb_reserve_new();
	n->lender = bb_lender_new(&lender_options);
	n->holder = bb_holder_new(&holder_options);
	grantor_options.holder = n->holder;
	n->grantor = bb_grantor_new(&grantor_options);
	n->drawer = bb_drawer_new(&drawer_options);
	apply(n, doc);
}

inline void Fleet::stop(int i)
{
	Node *n = nodes[i].get();

	if (!n->up)
		return;
	bb_drawer_delete(n->drawer);
	bb_grantor_delete(n->grantor);
	bb_holder_delete(n->holder);
	bb_lender_delete(n->lender);
	bb_reserve_delete(n->reserve);
	count.refused += n->waiters.size();
	n->waiters.clear();
	n->up = false;
}

inline void Fleet::apply(Node *n, const std::shared_ptr<Document> &doc)
{
	bb_lease_map *m = bb_lease_map_new(&doc->c, !o.ranked);

	bb_lease_map_set_holders(m, o.holders);
	n->old_docs.push_back(doc);
	n->doc = doc;
	bb_lender_set_config(n->lender, &doc->c, m, n->local());
	bb_holder_set_config(n->holder, &doc->c, m, n->local());
	bb_grantor_set_config(n->grantor, &doc->c, m, n->local());
	bb_drawer_set_config(n->drawer, &doc->c, m, n->local());
	bb_lease_map_unref(m);
}

inline void Fleet::send(Node *from, uint32_t host, const bb_message *m)
{
	int to = from->doc->ids[host];
	int copies = random() < o.repeat_ratio ? 2 : 1;

	messages++;
	for (int i = 0; i < copies; i++) {
		int64_t delay = 1 + random() * o.delay_max_us;

		if (to == from->id)
			delay = 0;
		else if (random() < o.loss_ratio)
			continue;
		else if (random() < o.late_ratio)
			delay += random() * 12 * SECOND;
		net.emplace(now + delay, std::make_shared<QueuedMessage>(
						 now + delay, from->id, to, m));
	}
}

inline void Fleet::admit(const std::string &account)
{
	std::vector<int64_t> &times = admitted[account];
	std::vector<double> &r = rates[account];
	std::vector<double> &b = bursts[account];
	size_t k = now / SAMPLE_US;
	double refill = 0, burst = 0;
	size_t back = k + 1;

	if (o.ranked) {
		count.admitted++;
		times.push_back(now);
		return;
	}
	// Leases may have been granted since the last sample.
	max_limits(account, &r.back(), &b.back());
	count.admitted++;
	times.push_back(now);
	// The highest burst of the 8.3 s before the window counts, since tokens
	// drawn in that time may be valid in the window.
	for (size_t i = times.size(); i-- > 0;) {
		size_t from = times[i] / SAMPLE_US;

		while (back > from) {
			back--;
			refill += r[back] * SAMPLE_US / SECOND;
		}
		burst = 0;
		for (size_t s = from > 83 ? from - 83 : 0; s <= from; s++)
			burst = std::max(burst, b[s]);
		double limit =
			burst + refill -
			r[from] * (times[i] - (int64_t)from * SAMPLE_US) /
				SECOND -
			r[k] * ((int64_t)(k + 1) * SAMPLE_US - now) / SECOND;
		// Clocks count whole microseconds: up to two are gained at each
		// end of the window.
		if (times.size() - i > limit + r[k] * 4e-6 + 1e-6 &&
		    violation.empty())
			violation = account + ": " +
				    std::to_string(times.size() - i) +
				    " requests admitted in " +
				    std::to_string(now - times[i]) +
				    " us, limit is " + std::to_string(limit) +
				    " at time " + std::to_string(now) + " us";
	}
}

inline void Fleet::request(int i, const std::string &account)
{
	Node *n = nodes[i].get();

	count.asked++;
	if (n->paused()) {
		count.refused++;
		return;
	}
	n->waiters.push_back({ account, n->local() + WAIT_US, false });
	retry(n);
	deliver();
}

inline bool Fleet::spend_reserve(Node *n, const std::string &account)
{
	uint32_t row = find_account(&n->doc->c, account.data(), account.size());

	return o.ranked && row != BB_NO_ROW &&
	       bb_drawer_may_use_reserve(n->drawer, account.c_str(),
					 n->local()) &&
	       bb_reserve_spend(n->reserve, &n->doc->accounts[row],
				n->doc->hosts.size(), n->local());
}

inline void Fleet::refuse(const std::string &account, bool late)
{
	count.refused++;
	if (on_refused)
		on_refused(account, late);
}

// Like request(), but a request at a paused node waits until the node goes on.
inline void Fleet::request_later(int i, const std::string &account)
{
	Node *n = nodes[i].get();

	if (!n->up || !n->paused()) {
		request(i, account);
		return;
	}
	count.asked++;
	n->waiters.push_back({ account, n->local() + WAIT_US, false });
}

inline void Fleet::retry(Node *n)
{
	std::vector<Waiter> rest;

	for (Waiter &w : n->waiters) {
		const char *account = w.account.c_str();
		enum bb_spend_result s = bb_drawer_spend(
			n->drawer, account, w.waited, n->local(), nullptr);

		if (s == BB_SPEND_GRANTED) {
			admit(w.account);
		} else if (s == BB_SPEND_WAIT && n->local() < w.deadline_us) {
			w.waited = true;
			rest.push_back(w);
		} else {
			if (s == BB_SPEND_WAIT)
				bb_drawer_cancel_wait(n->drawer, account);
			if (s == BB_SPEND_WAIT && spend_reserve(n, w.account))
				admit(w.account);
			else
				refuse(w.account, s == BB_SPEND_WAIT);
		}
	}
	n->waiters = rest;
	if (!rest.empty() || o.report_idle_us == 1)
		bb_drawer_tick(n->drawer, n->local());
}

// Each node hears directly from each peer; gossip is not simulated.
inline void Fleet::exchange_liveness()
{
	for (auto &n : nodes)
		for (auto &p : nodes) {
			if (n == p || n->paused() || p->paused() ||
			    cut[p->id][n->id])
				continue;
			Liveness &e = n->liveness[p->id];

			e.at = n->local();
			e.version = std::max(e.version, p->doc->c.version);
		}
}

inline void Fleet::max_limits(const std::string &a, double *rate, double *burst)
{
	uint32_t group = bb_lease_group(a.data(), a.size());

	if (o.ranked)
		return;
	for (auto &n : nodes) {
		if (!n->up || !bb_holder_seats(n->holder, group, n->local()))
			continue;
		uint32_t row = find_account(&n->doc->c, a.data(), a.size());

		if (row == BB_NO_ROW)
			continue;
		*rate = std::max(*rate, n->doc->accounts[row].rate_per_s);
		*burst = std::max(*burst, n->doc->accounts[row].burst);
	}
}

inline void Fleet::sample_limits()
{
	for (const std::string &a : o.accounts) {
		double rate = 0, burst = 0;

		max_limits(a, &rate, &burst);
		// A rate that rose since the last sample counts from that
		// sample on.
		if (!rates[a].empty())
			rates[a].back() = std::max(rates[a].back(), rate);
		rates[a].push_back(rate);
		bursts[a].push_back(burst);
	}
}

// Checks that the shares of a group held by all hosts add up to at most the
// whole group.
inline void Fleet::check_shares()
{
	std::vector<uint64_t> sums(BB_LEASE_GROUPS);

	if (o.ranked)
		return;
	for (auto &n : nodes)
		for (uint32_t g = 0; n->up && g < BB_LEASE_GROUPS; g++)
			sums[g] += bb_holder_share(n->holder, g, n->local());
	for (uint32_t g = 0; g < BB_LEASE_GROUPS; g++)
		if (sums[g] > BB_LEASE_SHARE_TOTAL && violation.empty())
			violation = "group " + std::to_string(g) + ": " +
				    std::to_string(sums[g]) + " of " +
				    std::to_string(BB_LEASE_SHARE_TOTAL) +
				    " shares held at time " +
				    std::to_string(now) + " us";
}

inline void Fleet::step()
{
	now += STEP_US;
	if (now - sampled_us >= SAMPLE_US) {
		sampled_us = now - now % SAMPLE_US;
		while (rates[o.accounts[0]].size() <= (size_t)(now / SAMPLE_US))
			sample_limits();
		check_shares();
		exchange_liveness();
	}
	deliver();
	for (auto &n : nodes) {
		if (n->paused())
			continue;
		if (!n->waiters.empty())
			retry(n.get());
		if (now % SAMPLE_US)
			continue;
		bb_lender_tick(n->lender, n->local());
		bb_holder_tick(n->holder, n->local());
		bb_grantor_tick(n->grantor, n->local());
		bb_drawer_tick(n->drawer, n->local());
	}
}

inline void Fleet::deliver()
{
	while (!net.empty() && net.begin()->first <= now) {
		std::shared_ptr<QueuedMessage> e = net.begin()->second;
		Node *n = nodes[e->to].get();

		net.erase(net.begin());
		if (!n->up || cut[e->from][e->to])
			continue;
		if (n->paused()) {
			net.emplace(n->paused_until_us + 1, e);
			continue;
		}
		int from = n->doc->host(nodes[e->from]->name);

		if (from < 0)
			continue;
		bb_lender_receive(n->lender, from, e->message(), n->local());
		bb_holder_receive(n->holder, from, e->message(), n->local());
		bb_grantor_receive(n->grantor, from, e->message(), n->local());
		bb_drawer_receive(n->drawer, from, e->message(), n->local());
		retry(n);
	}
}

} // namespace limit_driver

#endif
