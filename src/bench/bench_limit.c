/*
 * Measures wrongful refusals and over-admission of rate limits with leases,
 * compared with an even split of the rate over the nodes and with one owner per
 * account without leases; and the cost of control messages, the memory and the
 * processor time of a node.
 *
 * All nodes run in one process and time is simulated; every message takes
 * DELAY_US. Bytes are estimates of the MessagePack size plus FRAME_BYTES a
 * message.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/limit.h"

#define NODES_MAX 40
#define ACCOUNTS 40
/* Of each client account. */
#define RATE_PER_S 20
#define BURST 40
#define LARGE_BURST 200
#define DELAY_US 1500
#define STEP_US 1000
#define WARM_UP_US (25 * BB_US_PER_S)
#define RUN_US (60 * BB_US_PER_S)
/* Time for which a request waits for tokens. */
#define WAIT_MAX_US (500 * BB_US_PER_MS)
/* Time after which a silent host is known to be down. */
#define DETECT_US (3 * BB_US_PER_S)
/* ZeroMQ frame and CURVE message overhead, without TCP/IP headers. */
#define FRAME_BYTES 42

enum scheme { LEASED, EVEN_SPLIT, OWNER, SCHEME_COUNT };
static const char *const scheme_string[] = { "leased", "even-split", "owner" };

enum scenario {
	STEADY,
	ONE_NODE,
	TWO_NODES,
	FOUR_NODES,
	ONE_NODE_BUSY,
	ONE_NODE_LIGHT,
	ONE_NODE_LARGE_BURST,
	ENTRY_NODE_SWITCH,
	HOLDER_KILLED,
	RESTARTS,
	NETWORK_SPLIT,
	SCENARIO_COUNT
};
static const char *const scenario_string[] = {
	"steady",	 "one-node",   "two-nodes",  "four-nodes",
	"busy-node",	 "light-node", "large",	     "switch",
	"holder-killed", "restarts",   "split-60/40"
};

/* A message under way. @list: copy of the list that @m refers to */
struct envelope {
	int64_t at_us;
	uint32_t from;
	uint32_t to;
	struct bb_message m;
	void *list;
};

/* A node. @down_us: time at which it stopped */
struct node {
	uint64_t incarnation;
	int64_t down_us;
	uint32_t id;
	bool up;
	bool stopping;
	struct bb_lender *lender;
	struct bb_holder *holder;
	struct bb_grantor *grantor;
	struct bb_drawer *drawer;
};

/* A token bucket with @level tokens at @at_us. */
struct bucket {
	double level;
	int64_t at_us;
};

/*
 * A request that waits for tokens until @until_us. @conforming: whether it is
 * within the rate of its account
 */
struct waiter {
	uint32_t node;
	uint32_t account;
	int64_t until_us;
	int64_t conforming;
};

static struct node nodes[NODES_MAX];
static uint32_t nodes_nr = NODES_MAX;
static struct bb_config config;
static struct bb_lease_map *map;
static GQueue in_flight = G_QUEUE_INIT;
static GArray *waiters;
static int64_t now;
/* The network is split, see cut_off(). */
static bool network_split;
static GRand *rnd;
/* Token buckets of the two baselines, by node. */
static struct bucket even[NODES_MAX][ACCOUNTS], owner[NODES_MAX][ACCOUNTS];
/* Token buckets of the whole fleet, for requests sent and requests admitted. */
static struct bucket sent_bucket[ACCOUNTS], admitted_bucket[ACCOUNTS];
static long messages[BB_MESSAGE_TYPE_COUNT], bytes[BB_MESSAGE_TYPE_COUNT];
static double burst;
/*
 * Requests within the rate of their account, those of them that were refused,
 * admitted requests above the rate, and all admitted requests.
 */
static long conforming_nr, wrongful_nr, excess_nr, admitted_nr;
/* Drop messages that are sent, and count the grants in them. */
static bool drop_messages;
static long granted_nr;
static int64_t wait_us = WAIT_MAX_US;
/* Freshness bound of lenders that start, 0 for the default. */
static int64_t freshness_us;

static uint32_t find_account(const struct bb_config *c, const char *name,
			     size_t size)
{
	(void)size;
	return (uint32_t)atoi(name + 1) < c->accounts_nr ?
		       (uint32_t)atoi(name + 1) :
		       BB_NO_ROW;
}

/* Makes hosts h0, h1 and so on, and client accounts a0, a1 and so on. */
static void set_up(uint32_t hosts_nr, uint32_t accounts_nr)
{
	nodes_nr = hosts_nr;
	config.version = 1;
	config.automation = true;
	config.hosts_nr = hosts_nr;
	config.hosts = g_new0(struct bb_host, hosts_nr);
	config.accounts_nr = accounts_nr;
	config.accounts = g_new0(struct bb_account, accounts_nr);
	for (uint32_t i = 0; i < hosts_nr; i++) {
		config.hosts[i].name = g_strdup_printf("h%u", i);
		nodes[i].id = i;
	}
	for (uint32_t i = 0; i < accounts_nr; i++) {
		config.accounts[i].name = g_strdup_printf("a%u", i);
		config.accounts[i].rate_per_s = RATE_PER_S;
		config.accounts[i].burst = BURST;
	}
	map = bb_lease_map_new(&config, true);
}

static void tear_down(void)
{
	for (uint32_t i = 0; i < config.hosts_nr; i++)
		g_free(config.hosts[i].name);
	for (uint32_t i = 0; i < config.accounts_nr; i++)
		g_free(config.accounts[i].name);
	g_free(config.hosts);
	g_free(config.accounts);
	bb_lease_map_unref(map);
}

/* Whether a network split, 60% to 40% of the nodes, separates two nodes. */
static bool cut_off(uint32_t a, uint32_t b)
{
	return network_split &&
	       (a < nodes_nr * 6 / 10) != (b < nodes_nr * 6 / 10);
}

static bool alive(void *data, uint32_t host, int64_t now_us)
{
	const struct node *n = data;

	return !cut_off(n->id, host) && !nodes[host].stopping &&
	       (nodes[host].up || now_us - nodes[host].down_us < DETECT_US);
}

static bool is_stopping(void *data, uint32_t host, int64_t now_us)
{
	(void)data;
	(void)now_us;
	return nodes[host].stopping;
}

static bool may_lend(void *data, int64_t now_us)
{
	const struct node *n = data;

	(void)now_us;
	return !network_split || n->id < nodes_nr * 6 / 10;
}

static bool quorum_accepted(void *data, uint64_t version)
{
	(void)data;
	return version == 1;
}

/* Estimated size in MessagePack: 9 bytes a 64-bit, 5 a 32-bit number. */
static long message_bytes(const struct bb_message *m)
{
	switch (m->type) {
	case BB_MESSAGE_LEASE_REQUEST:
		return 3 + 9 + 5 + 5 + 1 + 3 * m->lease_request.groups_nr;
	case BB_MESSAGE_LEASE_GRANT:
		return 3 + 9 + 5 + 5 + 1 + 9 * m->lease_grant.grants_nr;
	case BB_MESSAGE_DRAW:
		/* Account names of 16 bytes. */
		return 3 + 9 + 5 + 1 +
		       (1 + 17 + 5 + 3 + 3 + 3) * m->draw.draws_nr;
	case BB_MESSAGE_DRAW_GRANT:
		return 3 + 9 + 5 + 1 + 10 * m->draw_grant.grants_nr;
	default:
		return 3 + 9 + 5 + 1;
	}
}

static void *copy_list(struct bb_message *m)
{
	switch (m->type) {
	case BB_MESSAGE_LEASE_REQUEST:
		return m->lease_request.groups = g_memdup2(
			       m->lease_request.groups,
			       m->lease_request.groups_nr * sizeof(uint32_t));
	case BB_MESSAGE_LEASE_GRANT:
		return m->lease_grant.grants =
			       g_memdup2(m->lease_grant.grants,
					 m->lease_grant.grants_nr *
						 sizeof(struct bb_lease_grant));
	case BB_MESSAGE_DRAW:
		/* Names need no copy: they live as long as the slots, 10 s. */
		return m->draw.draws = g_memdup2(
			       m->draw.draws,
			       m->draw.draws_nr * sizeof(struct bb_draw));
	case BB_MESSAGE_DRAW_GRANT:
		return m->draw_grant.grants =
			       g_memdup2(m->draw_grant.grants,
					 m->draw_grant.grants_nr *
						 sizeof(struct bb_draw_grant));
	default:
		return NULL;
	}
}

static void count_granted(const struct bb_message *m)
{
	if (m->type == BB_MESSAGE_LEASE_GRANT)
		granted_nr += m->lease_grant.grants[0].term_ms > 0;
	if (m->type == BB_MESSAGE_DRAW_GRANT)
		granted_nr += m->draw_grant.grants[0].granted >= BB_TOKEN;
}

static void send_message(void *data, uint32_t host, const struct bb_message *m)
{
	const struct node *n = data;
	struct envelope *e;

	if (drop_messages) {
		count_granted(m);
		return;
	}
	e = g_new0(struct envelope, 1);
	if (host != n->id) {
		messages[m->type]++;
		bytes[m->type] += message_bytes(m) + FRAME_BYTES;
	}
	e->at_us = now + DELAY_US;
	e->from = n->id;
	e->to = host;
	e->m = *m;
	e->list = copy_list(&e->m);
	g_queue_push_tail(&in_flight, e);
}

static void start(struct node *n)
{
	const char *self = config.hosts[n->id].name;
	struct bb_lender_options lo = { 0 };
	struct bb_holder_options ho = { 0 };
	struct bb_grantor_options go = { 0 };
	struct bb_drawer_options dr = { 0 };

	n->incarnation++;
	n->stopping = false;
	lo.self = ho.self = dr.self = self;
	lo.incarnation = ho.incarnation = go.incarnation = dr.incarnation =
		n->incarnation;
	lo.data = ho.data = go.data = dr.data = n;
	lo.alive = ho.alive = dr.alive = alive;
	lo.send = ho.send = go.send = dr.send = send_message;
	lo.drift_ppm = ho.drift_ppm = go.drift_ppm = dr.drift_ppm =
		BB_LEASE_DRIFT_PPM;
	dr.stopping = is_stopping;
	lo.may_lend = may_lend;
	lo.freshness_us = freshness_us;
	lo.quorum_accepted = quorum_accepted;
	go.find_account = find_account;
	n->lender = bb_lender_new(&lo);
	n->holder = bb_holder_new(&ho);
	go.holder = n->holder;
	n->grantor = bb_grantor_new(&go);
	n->drawer = bb_drawer_new(&dr);
	bb_lender_set_config(n->lender, &config, map, now);
	bb_holder_set_config(n->holder, &config, map, now);
	bb_grantor_set_config(n->grantor, &config, map, now);
	bb_drawer_set_config(n->drawer, &config, map, now);
	n->up = true;
}

static void remove_waiters(const struct node *n)
{
	for (guint i = waiters->len; i-- > 0;)
		if (g_array_index(waiters, struct waiter, i).node == n->id)
			g_array_remove_index_fast(waiters, i);
}

static void stop(struct node *n)
{
	remove_waiters(n);
	bb_drawer_delete(n->drawer);
	bb_grantor_delete(n->grantor);
	bb_holder_delete(n->holder);
	bb_lender_delete(n->lender);
	n->up = false;
	n->down_us = now;
}

static bool bucket_take(struct bucket *b, double rate, double burst)
{
	b->level = MIN(burst, b->level + rate * (now - b->at_us) / BB_US_PER_S);
	b->at_us = now;
	if (b->level < 1)
		return false;
	b->level -= 1;
	return true;
}

/* Counts an admission, as excess if one bucket for the fleet has no token. */
static void record_admission(uint32_t account)
{
	struct bucket *b = &admitted_bucket[account];

	admitted_nr++;
	if (!bucket_take(b, RATE_PER_S, burst))
		excess_nr++;
}

/* Takes a token of the first seat that this node holds to be alive. */
static bool ask_owner(uint32_t node, uint32_t account)
{
	const char *name = config.accounts[account].name;
	uint32_t group = bb_lease_group(name, strlen(name));

	for (uint32_t rank = 0; rank < bb_lease_map_seats(map); rank++) {
		uint32_t host = bb_lease_map_seat(map, group, rank);

		if (!alive(&nodes[node], host, now))
			continue;
		return nodes[host].up &&
		       bucket_take(&owner[host][account], RATE_PER_S, burst);
	}
	return false;
}

static void record_result(uint32_t account, bool ok, bool conforming)
{
	conforming_nr += conforming;
	if (ok)
		record_admission(account);
	else
		wrongful_nr += conforming;
}

static void retry_waiters(void)
{
	for (guint i = waiters->len; i-- > 0;) {
		struct waiter *w = &g_array_index(waiters, struct waiter, i);
		const char *name = config.accounts[w->account].name;
		struct node *n = &nodes[w->node];
		enum bb_spend_result s =
			bb_drawer_spend(n->drawer, name, true, now, NULL);

		if (s == BB_SPEND_WAIT && now < w->until_us)
			continue;
		if (s == BB_SPEND_WAIT)
			bb_drawer_cancel_wait(n->drawer, name);
		if (s == BB_SPEND_GRANTED)
			record_admission(w->account);
		else
			wrongful_nr += w->conforming;
		g_array_remove_index_fast(waiters, i);
	}
}

static void handle_request(enum scheme scheme, uint32_t node, uint32_t account)
{
	bool conforming = bucket_take(&sent_bucket[account], RATE_PER_S, burst);
	struct waiter w = { node, account, now + wait_us, conforming };
	enum bb_spend_result s;

	if (scheme == EVEN_SPLIT) {
		record_result(account,
			      bucket_take(&even[node][account],
					  (double)RATE_PER_S / nodes_nr,
					  MAX(burst / nodes_nr, 1)),
			      conforming);
		return;
	}
	if (scheme == OWNER) {
		record_result(account, ask_owner(node, account), conforming);
		return;
	}
	s = bb_drawer_spend(nodes[node].drawer, config.accounts[account].name,
			    false, now, NULL);
	if (s != BB_SPEND_WAIT) {
		record_result(account, s == BB_SPEND_GRANTED, conforming);
		return;
	}
	conforming_nr += conforming;
	g_array_append_val(waiters, w);
	bb_drawer_tick(nodes[node].drawer, now);
}

static void step(void)
{
	struct envelope *e;

	now += STEP_US;
	while ((e = g_queue_peek_head(&in_flight)) && e->at_us <= now) {
		struct node *n = &nodes[e->to];

		g_queue_pop_head(&in_flight);
		if (n->up && nodes[e->from].up && !cut_off(e->from, e->to)) {
			bb_lender_receive(n->lender, e->from, &e->m, now);
			bb_holder_receive(n->holder, e->from, &e->m, now);
			bb_grantor_receive(n->grantor, e->from, &e->m, now);
			bb_drawer_receive(n->drawer, e->from, &e->m, now);
		}
		g_free(e->list);
		g_free(e);
	}
	retry_waiters();
	if (now % (100 * BB_US_PER_MS))
		return;
	for (uint32_t i = 0; i < nodes_nr; i++) {
		struct node *n = &nodes[i];

		if (!n->up)
			continue;
		bb_lender_tick(n->lender, now);
		bb_holder_tick(n->holder, now);
		bb_grantor_tick(n->grantor, now);
		bb_drawer_tick(n->drawer, now);
	}
}

static uint32_t pick_running_node(uint32_t from, uint32_t nr)
{
	uint32_t i;

	do
		i = from + g_rand_int_range(rnd, 0, nr);
	while (!nodes[i].up || nodes[i].stopping);
	return i;
}

static void inject_fault(enum scenario scenario, int64_t at_us)
{
	const char *name = config.accounts[0].name;
	uint32_t group = bb_lease_group(name, strlen(name));

	if (scenario == HOLDER_KILLED && at_us == 20 * BB_US_PER_S)
		stop(&nodes[bb_lease_map_seat(map, group, 0)]);
	if (scenario == NETWORK_SPLIT)
		network_split = at_us >= 20 * BB_US_PER_S &&
				at_us < 40 * BB_US_PER_S;
	if (scenario != RESTARTS)
		return;
	if (at_us == 20 * BB_US_PER_S)
		for (uint32_t i = 0; i < nodes_nr / 20; i++)
			stop(&nodes[i]);
	if (at_us == 25 * BB_US_PER_S)
		for (uint32_t i = 0; i < nodes_nr / 20; i++)
			start(&nodes[i]);
}

/* Entry node of a request of the account. */
static uint32_t entry_node(enum scenario scenario, uint32_t a, int64_t at_us)
{
	switch (scenario) {
	case ONE_NODE:
	case ONE_NODE_BUSY:
	case ONE_NODE_LIGHT:
	case ONE_NODE_LARGE_BURST:
		return a;
	case ENTRY_NODE_SWITCH:
		return at_us < 20 * BB_US_PER_S ? a : (a + 7) % nodes_nr;
	case TWO_NODES:
		return (a + g_rand_int_range(rnd, 0, 2)) % nodes_nr;
	case FOUR_NODES:
		return (a + g_rand_int_range(rnd, 0, 4)) % nodes_nr;
	default:
		return pick_running_node(0, nodes_nr);
	}
}

/* Load of every account as a share of its rate. */
static double load_share(enum scenario scenario)
{
	if (scenario == ONE_NODE_BUSY)
		return 0.9;
	return scenario == ONE_NODE_LIGHT ? 0.2 : 0.5;
}

/* Sends requests of every account at random times. */
static void send_load(enum scheme scheme, enum scenario scenario, int64_t at_us)
{
	double share = load_share(scenario);

	for (uint32_t a = 0; a < ACCOUNTS; a++) {
		if (scenario == HOLDER_KILLED && a)
			continue;
		if (g_rand_double(rnd) >=
		    RATE_PER_S * share * STEP_US / BB_US_PER_S)
			continue;
		handle_request(scheme, entry_node(scenario, a, at_us), a);
	}
}

static void run_begin(uint32_t seed)
{
	now = BB_US_PER_S;
	network_split = false;
	rnd = g_rand_new_with_seed(seed);
	waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	conforming_nr = wrongful_nr = excess_nr = admitted_nr = 0;
	for (uint32_t a = 0; a < config.accounts_nr && a < ACCOUNTS; a++) {
		config.accounts[a].burst = burst;
		sent_bucket[a] = admitted_bucket[a] =
			(struct bucket){ burst, now };
		for (uint32_t i = 0; i < nodes_nr; i++) {
			even[i][a] = (struct bucket){ MAX(burst / nodes_nr, 1),
						      now };
			owner[i][a] = (struct bucket){ burst, now };
		}
	}
	for (uint32_t i = 0; i < nodes_nr; i++)
		start(&nodes[i]);
	while (now < WARM_UP_US)
		step();
}

static void clear_in_flight(void)
{
	struct envelope *e;

	while ((e = g_queue_pop_head(&in_flight))) {
		g_free(e->list);
		g_free(e);
	}
}

static void run_end(void)
{
	for (uint32_t i = 0; i < nodes_nr; i++)
		if (nodes[i].up)
			stop(&nodes[i]);
	clear_in_flight();
	g_array_free(waiters, TRUE);
	g_rand_free(rnd);
}

static void run(enum scheme scheme, enum scenario scenario, uint32_t seed)
{
	long sum_messages = 0, sum_bytes = 0, draw_bytes;

	burst = scenario == ONE_NODE_LARGE_BURST ? LARGE_BURST : BURST;
	run_begin(seed);
	memset(messages, 0, sizeof(messages));
	memset(bytes, 0, sizeof(bytes));
	for (int64_t at_us = 0; at_us < RUN_US; at_us += STEP_US) {
		inject_fault(scenario, at_us);
		send_load(scheme, scenario, at_us);
		step();
	}
	for (int i = 0; i < BB_MESSAGE_TYPE_COUNT; i++) {
		sum_messages += messages[i];
		sum_bytes += bytes[i];
	}
	draw_bytes = bytes[BB_MESSAGE_DRAW] + bytes[BB_MESSAGE_DRAW_GRANT];
	printf("%-11s %-14s seed %u inside %6ld wrongful %5ld (%.2f%%) "
	       "excess %4ld  msg/s/node %.1f bytes/s/node %.0f "
	       "(lease %.0f draw %.0f, %.1f/request)\n",
	       scheme_string[scheme], scenario_string[scenario], seed,
	       conforming_nr, wrongful_nr,
	       100.0 * wrongful_nr / MAX(conforming_nr, 1), excess_nr,
	       2.0 * sum_messages / nodes_nr / 60,
	       2.0 * sum_bytes / nodes_nr / 60,
	       2.0 *
		       (bytes[BB_MESSAGE_LEASE_REQUEST] +
			bytes[BB_MESSAGE_LEASE_GRANT]) /
		       nodes_nr / 60,
	       2.0 * draw_bytes / nodes_nr / 60,
	       2.0 * draw_bytes / MAX(admitted_nr, 1));
	run_end();
}

/*
 * Memory and processor time of one node. The benchmark sends the messages of
 * the other nodes. A slope is the cost of one more lease, account or operation.
 */

#define SLOPE_HOSTS 15
#define SLOPE_ACCOUNTS 8000
#define SLOPE_RATE 1e6
#define SLOPE_ROUNDS 200000
#define REPEATS_MAX 100

enum slope {
	LENDER_FIXED,
	LENDER_GROUP,
	HOLDER_GROUP,
	GRANTOR_ACCOUNT,
	GRANTOR_SENDER,
	DRAWER_ACCOUNT,
	LENDER_RENEWAL,
	HOLDER_RENEWAL,
	GRANTOR_DRAW,
	SPEND_GRANTED,
	SPEND_REFUSED,
	SLOPE_COUNT
};
static const char *const slope_string[] = {
	"lender, B without leases",
	"lender, B a group lent",
	"holder, B a group held, 15 seats",
	"holder, B an account with one sender",
	"holder, B a further sender of an account",
	"entry node, B an account",
	"lender, ns a renewal granted",
	"holder, ns a renewal granted",
	"holder, ns a draw granted",
	"entry node, ns a spend granted",
	"entry node, ns a spend refused",
};
G_STATIC_ASSERT(G_N_ELEMENTS(slope_string) == SLOPE_COUNT);

static double slopes[SLOPE_COUNT][REPEATS_MAX];

static int64_t memory_in_use(void)
{
	struct mallinfo2 m = mallinfo2();

	return (int64_t)(m.uordblks + m.hblkhd);
}

static double ns_each(int64_t begin_us, long nr)
{
	return (bb_clock_now_us() - begin_us) * 1000.0 / nr;
}

/* Grants all leases that node 0 requested. Other messages are dropped. */
static void answer_leases(struct node *n)
{
	struct envelope *e;

	while ((e = g_queue_pop_head(&in_flight))) {
		struct bb_message m = { .type = BB_MESSAGE_LEASE_GRANT };
		const struct bb_message_lease_request *r = &e->m.lease_request;
		struct bb_lease_grant grants[BB_LEASE_GROUPS] = { 0 };

		if (e->m.type == BB_MESSAGE_LEASE_REQUEST) {
			for (size_t i = 0; i < r->groups_nr; i++) {
				grants[i].group = r->groups[i];
				grants[i].seats = SLOPE_HOSTS;
				grants[i].term_ms =
					BB_LEASE_TERM_US / BB_US_PER_MS;
			}
			m.lease_grant.nonce = r->nonce;
			m.lease_grant.grants = grants;
			m.lease_grant.grants_nr = r->groups_nr;
			bb_holder_receive(n->holder, e->to, &m, now);
		}
		g_free(e->list);
		g_free(e);
	}
}

/* Grants @granted tokens for each draw of node 0. */
static void answer_draws(struct node *n, uint32_t granted)
{
	struct envelope *e;

	while ((e = g_queue_pop_head(&in_flight))) {
		struct bb_message m = { .type = BB_MESSAGE_DRAW_GRANT };
		struct bb_draw_grant *grants;

		if (e->m.type == BB_MESSAGE_DRAW) {
			grants = g_new0(struct bb_draw_grant,
					e->m.draw.draws_nr);
			for (size_t i = 0; i < e->m.draw.draws_nr; i++) {
				grants[i].granted = granted;
				grants[i].valid_ms =
					BB_DRAW_VALID_SHORT_US / BB_US_PER_MS;
				grants[i].retry_ms = granted ? 0 : 1000;
			}
			m.draw_grant.incarnation = 1;
			m.draw_grant.nonce = e->m.draw.nonce;
			m.draw_grant.grants = grants;
			m.draw_grant.grants_nr = e->m.draw.draws_nr;
			bb_drawer_receive(n->drawer, e->to, &m, now);
			g_free(grants);
		}
		g_free(e->list);
		g_free(e);
	}
}

static void request_lease(struct node *n, uint32_t group, uint64_t nonce)
{
	struct bb_message m = { .type = BB_MESSAGE_LEASE_REQUEST };

	m.lease_request.incarnation = 99;
	m.lease_request.config_version = 1;
	m.lease_request.nonce = nonce;
	m.lease_request.groups = &group;
	m.lease_request.groups_nr = 1;
	bb_lender_receive(n->lender, 1, &m, now);
}

static void request_draw(struct node *n, uint32_t sender, uint32_t account,
			 uint64_t nonce)
{
	const char *name = config.accounts[account].name;
	struct bb_draw draw = { { name, strlen(name) }, BB_TOKEN, 0, 0, 250 };
	struct bb_message m = { .type = BB_MESSAGE_DRAW };

	m.draw.incarnation = 99;
	m.draw.nonce = nonce;
	m.draw.draws = &draw;
	m.draw.draws_nr = 1;
	bb_grantor_receive(n->grantor, sender, &m, now);
}

static void measure_lender(struct node *n, uint32_t repeat)
{
	int64_t begin_us = memory_in_use();
	struct bb_lender *former = n->lender;
	struct bb_lender_options o = {
		.self = config.hosts[0].name,
		.incarnation = 1,
		.data = n,
		.may_lend = may_lend,
		.quorum_accepted = quorum_accepted,
		.alive = alive,
		.send = send_message,
		.drift_ppm = BB_LEASE_DRIFT_PPM,
	};

	n->lender = bb_lender_new(&o);
	bb_lender_set_config(n->lender, &config, map, now);
	slopes[LENDER_FIXED][repeat] = memory_in_use() - begin_us;
	bb_lender_delete(former);
	bb_lender_tick(n->lender, now);
	now += WARM_UP_US;
	begin_us = memory_in_use();
	for (uint32_t i = 0; i < BB_LEASE_GROUPS; i++)
		request_lease(n, i, i + 1);
	clear_in_flight();
	if (bb_lender_active_leases(n->lender, now) != BB_LEASE_GROUPS)
		g_error("lender refused a lease request");
	slopes[LENDER_GROUP][repeat] =
		(double)(memory_in_use() - begin_us) / BB_LEASE_GROUPS;
	drop_messages = true;
	granted_nr = 0;
	begin_us = bb_clock_now_us();
	for (uint64_t i = 1; i <= SLOPE_ROUNDS; i++)
		request_lease(n, i % BB_LEASE_GROUPS, BB_LEASE_GROUPS + i);
	slopes[LENDER_RENEWAL][repeat] = ns_each(begin_us, SLOPE_ROUNDS);
	drop_messages = false;
	if (granted_nr != SLOPE_ROUNDS)
		g_error("lender refused the renewal of a lease");
}

static void measure_holder(struct node *n, uint32_t repeat)
{
	int64_t begin_us = memory_in_use();

	bb_holder_tick(n->holder, now);
	answer_leases(n);
	if (bb_holder_groups(n->holder, now) != BB_LEASE_GROUPS)
		g_error("holder lacks a lease of a group after its requests "
			"were granted");
	slopes[HOLDER_GROUP][repeat] =
		(double)(memory_in_use() - begin_us) / BB_LEASE_GROUPS;
	now += 6 * BB_US_PER_S;
	begin_us = bb_clock_now_us();
	bb_holder_tick(n->holder, now);
	answer_leases(n);
	slopes[HOLDER_RENEWAL][repeat] =
		ns_each(begin_us, BB_LEASE_GROUPS * SLOPE_HOSTS);
	now += 6 * BB_US_PER_S;
	if (bb_holder_groups(n->holder, now) != BB_LEASE_GROUPS)
		g_error("holder did not renew the lease of a group");
	bb_holder_tick(n->holder, now);
	answer_leases(n);
}

static void measure_grantor(struct node *n, uint32_t repeat)
{
	int64_t begin_us = memory_in_use();

	for (uint32_t i = 0; i < SLOPE_ACCOUNTS; i++)
		request_draw(n, 1, i, i + 1);
	clear_in_flight();
	slopes[GRANTOR_ACCOUNT][repeat] =
		(double)(memory_in_use() - begin_us) / SLOPE_ACCOUNTS;
	begin_us = memory_in_use();
	for (uint32_t s = 2; s < 10; s++)
		for (uint32_t i = 0; i < SLOPE_ACCOUNTS; i++)
			request_draw(n, s, i, i + 1);
	clear_in_flight();
	slopes[GRANTOR_SENDER][repeat] =
		(double)(memory_in_use() - begin_us) / SLOPE_ACCOUNTS / 8;
	drop_messages = true;
	granted_nr = 0;
	begin_us = bb_clock_now_us();
	for (uint64_t i = 1; i <= SLOPE_ROUNDS; i++)
		request_draw(n, 1, i % ACCOUNTS, SLOPE_ACCOUNTS + i);
	slopes[GRANTOR_DRAW][repeat] = ns_each(begin_us, SLOPE_ROUNDS);
	drop_messages = false;
	if (granted_nr != SLOPE_ROUNDS)
		g_error("holder refused a draw within the rate");
}

static long spend_many(struct node *n, long nr)
{
	long granted = 0;

	for (long i = 0; i < nr; i++)
		granted += bb_drawer_spend(n->drawer, "a1", false, now, NULL) ==
			   BB_SPEND_GRANTED;
	return granted;
}

static void measure_drawer(struct node *n, uint32_t repeat)
{
	const long batch = 4000;
	int64_t begin_us = memory_in_use();
	double sum_ns = 0;

	for (uint32_t i = 0; i < SLOPE_ACCOUNTS; i++)
		bb_drawer_spend(n->drawer, config.accounts[i].name, false, now,
				NULL);
	bb_drawer_tick(n->drawer, now);
	answer_draws(n, 2 * BB_TOKEN);
	slopes[DRAWER_ACCOUNT][repeat] =
		(double)(memory_in_use() - begin_us) / SLOPE_ACCOUNTS;
	for (uint32_t i = 0; i < SLOPE_ACCOUNTS; i++)
		bb_drawer_cancel_wait(n->drawer, config.accounts[i].name);
	for (long i = 0; i < SLOPE_ROUNDS / batch; i++) {
		/* The tokens of the last batch expire. */
		now += BB_US_PER_S;
		bb_drawer_spend(n->drawer, "a1", false, now, NULL);
		bb_drawer_tick(n->drawer, now);
		answer_draws(n, batch * BB_TOKEN);
		bb_drawer_cancel_wait(n->drawer, "a1");
		begin_us = bb_clock_now_us();
		if (spend_many(n, batch) != batch)
			g_error("entry node refused a request despite drawn tokens");
		sum_ns += ns_each(begin_us, SLOPE_ROUNDS);
	}
	slopes[SPEND_GRANTED][repeat] = sum_ns;
	now += BB_US_PER_S;
	bb_drawer_spend(n->drawer, "a1", false, now, NULL);
	bb_drawer_tick(n->drawer, now);
	answer_draws(n, 0);
	begin_us = bb_clock_now_us();
	if (spend_many(n, SLOPE_ROUNDS))
		g_error("entry node admitted a request without tokens");
	slopes[SPEND_REFUSED][repeat] = ns_each(begin_us, SLOPE_ROUNDS);
}

static int compare(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

static void measure_slopes(uint32_t repeats)
{
	struct node *n = &nodes[0];

	repeats = CLAMP(repeats, 1, REPEATS_MAX);
	for (uint32_t r = 0; r < repeats; r++) {
		set_up(SLOPE_HOSTS, SLOPE_ACCOUNTS);
		for (uint32_t i = 0; i < SLOPE_ACCOUNTS; i++) {
			config.accounts[i].rate_per_s = SLOPE_RATE;
			config.accounts[i].burst = SLOPE_RATE;
		}
		now = BB_US_PER_S;
		waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
		for (uint32_t i = 1; i < SLOPE_HOSTS; i++)
			nodes[i].down_us = now - DETECT_US;
		start(n);
		measure_lender(n, r);
		measure_holder(n, r);
		measure_grantor(n, r);
		measure_drawer(n, r);
		clear_in_flight();
		stop(n);
		g_array_free(waiters, TRUE);
		tear_down();
	}
	for (int i = 0; i < SLOPE_COUNT; i++) {
		qsort(slopes[i], repeats, sizeof(slopes[i][0]), compare);
		printf("%-42s median %8.1f (%.1f to %.1f, %u repeats)\n",
		       slope_string[i], slopes[i][repeats / 2], slopes[i][0],
		       slopes[i][repeats - 1], repeats);
	}
}

/*
 * Stops a node as planned and starts it 3 s after the stop began. Requests that
 * wait at that time end before the node does.
 */
static void restart(struct node *n, int64_t since_us)
{
	if (since_us == 0) {
		n->stopping = true;
		bb_drawer_return_tokens(n->drawer, now);
	}
	if (since_us == 500 * BB_US_PER_MS)
		bb_holder_stop(n->holder);
	if (since_us == BB_DRAW_WAIT_MAX_US + 100 * BB_US_PER_MS)
		stop(n);
	if (since_us == 3 * BB_US_PER_S)
		start(n);
}

/*
 * Restarts all hosts, one every @interval_us. A lender that starts waits for
 * the lease term and a freshness bound, @wait_freshness_us, 0 for the default.
 * 1 us stands for a lender that knows all former leases and waits for the
 * longest of them.
 */
static void run_rolling(uint32_t hosts, int64_t interval_us, double share,
			int64_t wait_freshness_us, uint32_t seed)
{
	int64_t end_us = (hosts - 1) * interval_us + 25 * BB_US_PER_S;

	set_up(hosts, ACCOUNTS);
	burst = BURST;
	wait_us = BB_DRAW_WAIT_MAX_US;
	freshness_us = 0;
	run_begin(seed);
	freshness_us = wait_freshness_us;
	for (int64_t at_us = 0; at_us < end_us; at_us += STEP_US) {
		for (uint32_t i = 0; i < hosts && interval_us; i++)
			restart(&nodes[i], at_us - i * interval_us);
		for (uint32_t a = 0; a < ACCOUNTS; a++)
			if (g_rand_double(rnd) <
			    RATE_PER_S * share * STEP_US / BB_US_PER_S)
				handle_request(LEASED,
					       pick_running_node(0, hosts), a);
		step();
	}
	printf("rolling hosts %2u every %2d s load %.0f%% wait %-8s seed %u "
	       "inside %6ld wrongful %5ld (%.3f%%) excess %ld\n",
	       hosts, (int)(interval_us / BB_US_PER_S), share * 100,
	       wait_freshness_us ? "shortcut" : "full", seed, conforming_nr,
	       wrongful_nr, 100.0 * wrongful_nr / MAX(conforming_nr, 1),
	       excess_nr);
	fflush(stdout);
	run_end();
	tear_down();
}

/* @only_hosts: measure fleets of this size only, 0 for all */
static void measure_rolling(uint32_t seeds, uint32_t only_hosts)
{
	static const uint32_t hosts[] = { 3, 10, 25 };
	static const int interval_s[] = { 25, 5 };
	static const double share[] = { 0.5, 0.8 };

	for (size_t h = 0; h < G_N_ELEMENTS(hosts); h++)
		for (int k = 0;
		     k < 8 && (!only_hosts || only_hosts == hosts[h]); k++)
			for (uint32_t seed = 1; seed <= seeds; seed++)
				run_rolling(hosts[h],
					    interval_s[k / 4] * BB_US_PER_S,
					    share[k / 2 % 2], k % 2, seed);
}

int main(int argc, char **argv)
{
	/*
	 * bench_limit [seeds [schemes [scenario]]]: the first schemes of
	 * enum scheme, so 1 measures leases only.
	 * bench_limit slopes [repeats]: memory and processor time of a node.
	 * bench_limit rolling [seeds [hosts]]: rolling restart of all hosts.
	 */
	bool mode = argc > 1 && g_ascii_isalpha(argv[1][0]);
	uint32_t seeds = argc > 1 + mode ? (uint32_t)atoi(argv[1 + mode]) : 3;
	int schemes = argc > 2 ? atoi(argv[2]) : SCHEME_COUNT;

	if (mode && !strcmp(argv[1], "slopes")) {
		measure_slopes(argc > 2 ? seeds : 7);
		return 0;
	}
	if (mode && !strcmp(argv[1], "rolling")) {
		measure_rolling(seeds, argc > 3 ? (uint32_t)atoi(argv[3]) : 0);
		return 0;
	}
	if (mode) {
		fprintf(stderr,
			"bench_limit: unknown mode %s, expected slopes or rolling\n",
			argv[1]);
		return 2;
	}
	set_up(NODES_MAX, ACCOUNTS);
	for (uint32_t seed = 1; seed <= seeds; seed++)
		for (int scenario = 0; scenario < SCENARIO_COUNT; scenario++)
			for (int scheme = 0; scheme < schemes; scheme++)
				if (argc < 4 ||
				    !strcmp(argv[3], scenario_string[scenario]))
					run(scheme, scenario, seed);
	tear_down();
	return 0;
}
