/*
 * Fairness of the queue, load balancing with late reports, and retries under
 * overload.
 *
 * A discrete event simulation on a driven clock with fixed seeds drives the
 * modules of libroute and the baselines with the same arrivals.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "baobabward/balance.h"
#include "baobabward/clock.h"
#include "baobabward/queue.h"
#include "baobabward/retry.h"
#include "bench/route_bench.h"

#define ACCOUNTS 8
#define ENTRIES 5
#define SLOTS BENCH_SLOTS
#define SERVERS_MAX 25
#define SEEDS BENCH_RUNS
#define RUN_US (60 * BB_US_PER_S)
#define SERVICE_US 20000.0
#define TIMEOUT_US (500 * BB_US_PER_MS)
#define HOP_US (1 * BB_US_PER_MS)
#define FIFO_LIMIT 128

enum queueing { QUEUE_FAIR, QUEUE_FIFO, QUEUE_NONE };
enum balancing {
	BALANCE_CHOICES,
	BALANCE_RANDOM,
	BALANCE_ROUND,
	BALANCE_LEAST
};
enum retrying { RETRY_BUDGET, RETRY_ALWAYS, RETRY_NEVER };

/* @load: utilization when every account sends its rate; @excess: account 0
 * sends that many times its rate; @slow: its requests take that many times as
 * long; @slow_server: server 0 takes that many times as long; @report_us: age
 * of reports on arrival, besides the hop. */
struct scenario {
	int servers;
	double load;
	double excess;
	double slow;
	double slow_server;
	bool booking;
	int64_t report_us;
	enum queueing queueing;
	enum balancing balancing;
	enum retrying retrying;
};

struct request {
	struct bb_queue_entry entry;
	int account;
	int node;
	uint32_t attempts;
	uint32_t tried[BB_RETRY_ATTEMPTS_MAX];
	int64_t born_us;
	double service_us;
	uint32_t server;
	struct bb_path *path;
	bool ok;
	enum bb_reason reason;
};

enum event_type {
	EVENT_ARRIVAL,
	EVENT_SERVER,
	EVENT_FINISH,
	EVENT_RESULT,
	EVENT_REPORT
};

struct event {
	int64_t at_us;
	uint64_t order;
	enum event_type type;
	int account;
	int node;
	uint32_t server;
	struct request *r;
	struct bb_load load;
};

struct server {
	struct sim *sim;
	struct bb_queue *q;
	GQueue fifo;
	uint32_t running;
};

struct sim {
	struct scenario s;
	GRand *g;
	int64_t now_us;
	GArray *heap;
	uint64_t order;
	struct server servers[SERVERS_MAX];
	struct bb_balance *balance[ENTRIES];
	struct bb_load seen[ENTRIES][SERVERS_MAX];
	uint32_t next[ENTRIES];
	struct bb_retry_budget budget[ENTRIES];
	uint64_t ok[ACCOUNTS];
	uint64_t failed[ACCOUNTS];
	GArray *latency[ACCOUNTS];
	uint64_t attempts;
};

struct result {
	double success;
	double first_success;
	double p99_ms;
	double amplification;
	double refused;
};

static bool earlier(const struct event *a, const struct event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void add_event(struct sim *s, struct event e)
{
	struct event *h;
	guint i = s->heap->len;

	e.order = s->order++;
	g_array_append_val(s->heap, e);
	h = (struct event *)s->heap->data;
	for (; i && earlier(&e, &h[(i - 1) / 2]); i = (i - 1) / 2)
		h[i] = h[(i - 1) / 2];
	h[i] = e;
}

static struct event next_event(struct sim *s)
{
	struct event *h = (struct event *)s->heap->data;
	struct event first = h[0];
	guint n = s->heap->len - 1;
	struct event last = h[n];
	guint i = 0;

	g_array_set_size(s->heap, n);
	for (;;) {
		guint c = 2 * i + 1;

		if (c + 1 < n && earlier(&h[c + 1], &h[c]))
			c++;
		if (c >= n || !earlier(&h[c], &last))
			break;
		h[i] = h[c];
		i = c;
	}
	if (n)
		h[i] = last;
	return first;
}

static double exponential(GRand *g, double mean)
{
	return -mean * log(1 - g_rand_double(g));
}

/* Requests a second of one account within its rate. */
static double rate(const struct scenario *s)
{
	return s->load * s->servers * SLOTS * 1e6 / SERVICE_US / ACCOUNTS;
}

static void schedule_arrival(struct sim *s, int account)
{
	double x = rate(&s->s) * (account ? 1 : s->s.excess);

	add_event(s,
		  (struct event){ .at_us = s->now_us +
					   (int64_t)exponential(s->g, 1e6 / x),
				  .type = EVENT_ARRIVAL,
				  .account = account });
}

static struct bb_load load_of(const struct server *v)
{
	struct bb_load l = { v->running, v->fifo.length, SLOTS, 0 };

	return v->q ? bb_queue_load(v->q) : l;
}

static void answer(struct server *v, struct request *r, enum bb_reason reason)
{
	struct sim *s = v->sim;

	r->ok = !reason;
	r->reason = reason;
	add_event(s, (struct event){ .at_us = s->now_us + HOP_US,
				     .type = EVENT_RESULT,
				     .r = r,
				     .load = load_of(v) });
}

static void refused(void *data, struct bb_queue_entry *e, enum bb_reason reason)
{
	answer(data, (struct request *)e, reason);
}

static void run_request(struct server *v, struct request *r)
{
	double us = r->service_us;

	if (r->server == 0)
		us *= v->sim->s.slow_server;
	add_event(v->sim, (struct event){ .at_us = v->sim->now_us + (int64_t)us,
					  .type = EVENT_FINISH,
					  .r = r });
}

static void start_requests(struct server *v)
{
	int64_t now_us = v->sim->now_us;
	struct bb_queue_entry *e;
	int64_t wake_us;

	if (v->q) {
		bb_queue_expire(v->q, now_us);
		while ((e = bb_queue_pop(v->q, SLOTS, now_us, &wake_us)))
			run_request(v, (struct request *)e);
		return;
	}
	while (v->running < SLOTS && v->fifo.length) {
		struct request *r = g_queue_pop_head(&v->fifo);

		if (r->entry.not_after_us <= now_us) {
			answer(v, r, BB_REASON_DEADLINE);
			continue;
		}
		v->running++;
		run_request(v, r);
	}
}

static void at_server(struct sim *s, struct request *r)
{
	struct server *v = &s->servers[r->server];
	enum bb_reason reason = BB_REASON_NONE;

	if (v->q)
		reason = bb_queue_push(v->q, &r->entry, s->now_us);
	else if (v->running + v->fifo.length >=
		 SLOTS + (s->s.queueing == QUEUE_FIFO ? FIFO_LIMIT : 0))
		reason = BB_REASON_QUEUE_FULL;
	else
		g_queue_push_tail(&v->fifo, r);
	if (reason)
		answer(v, r, reason);
	start_requests(v);
}

static uint32_t least(struct sim *s, int node)
{
	uint32_t best = 0;

	for (uint32_t i = 1; i < (uint32_t)s->s.servers; i++)
		if (s->seen[node][i].in_flight + s->seen[node][i].queued <
		    s->seen[node][best].in_flight + s->seen[node][best].queued)
			best = i;
	return best;
}

static void send_request(struct sim *s, struct request *r)
{
	uint32_t n = (uint32_t)s->s.servers;
	struct bb_choice c;

	r->path = NULL;
	switch (s->s.balancing) {
	case BALANCE_CHOICES:
		c = bb_balance_choose(s->balance[r->node], r->tried,
				      r->attempts, s->now_us);
		r->server = c.backend == BB_NO_ROW ? 0 : c.backend;
		r->path = c.path;
		break;
	case BALANCE_RANDOM:
		r->server = g_rand_int_range(s->g, 0, (gint32)n);
		break;
	case BALANCE_ROUND:
		r->server = s->next[r->node]++ % n;
		break;
	case BALANCE_LEAST:
		r->server = least(s, r->node);
		break;
	}
	r->tried[r->attempts++] = r->server;
	add_event(s, (struct event){ .at_us = s->now_us + HOP_US,
				     .type = EVENT_SERVER,
				     .r = r });
}

static void arrive(struct sim *s, int account)
{
	struct request *r = g_new0(struct request, 1);

	schedule_arrival(s, account);
	r->account = account;
	r->node = g_rand_int_range(s->g, 0, ENTRIES);
	r->born_us = s->now_us;
	r->service_us = exponential(s->g, SERVICE_US);
	if (!account)
		r->service_us *= s->s.slow;
	r->entry.account = (uint64_t)account;
	r->entry.weight = 1;
	r->entry.not_after_us = s->now_us + TIMEOUT_US;
	r->entry.idempotent = !s->s.booking;
	bb_retry_budget_deposit(&s->budget[r->node]);
	send_request(s, r);
}

static bool retry(struct sim *s, struct request *r)
{
	struct bb_retry_attempt a = {
		.idempotent = true,
		.verdict = BB_VERDICT_NOT_RUN,
		.reason = r->reason,
		.attempts = r->attempts,
		.deadline_us = r->born_us + TIMEOUT_US,
	};

	if (s->s.retrying == RETRY_BUDGET)
		return bb_retry_decide(&s->budget[r->node], &a, s->now_us) ==
		       BB_RETRY_YES;
	return s->s.retrying == RETRY_ALWAYS &&
	       r->attempts < BB_RETRY_ATTEMPTS_MAX && s->now_us < a.deadline_us;
}

/* A node learns of the load of a backend server. */
static void learn(struct sim *s, int node, uint32_t server,
		  const struct bb_load *load)
{
	struct bb_balance *b = s->balance[node];

	s->seen[node][server] = *load;
	bb_balance_report(b, bb_balance_path(b, server), load, s->now_us);
}

static void result(struct sim *s, struct request *r, const struct bb_load *load)
{
	int64_t took_us = s->now_us - r->born_us;

	if (r->path)
		bb_path_release(r->path);
	r->path = NULL;
	add_event(s, (struct event){ .at_us = s->now_us + s->s.report_us,
				     .type = EVENT_REPORT,
				     .node = r->node,
				     .server = r->server,
				     .load = *load });
	if (!r->ok && retry(s, r)) {
		send_request(s, r);
		return;
	}
	s->attempts += r->attempts;
	if (r->ok) {
		s->ok[r->account]++;
		g_array_append_val(s->latency[r->account], took_us);
	} else {
		s->failed[r->account]++;
	}
	g_free(r);
}

static void finish(struct sim *s, struct request *r)
{
	struct server *v = &s->servers[r->server];

	if (v->q)
		bb_queue_finish(v->q, &r->entry, true, s->now_us);
	else
		v->running--;
	answer(v, r, BB_REASON_NONE);
	start_requests(v);
}

static void init(struct sim *s, const struct scenario *scenario,
		 const struct bb_config *config, guint32 seed)
{
	s->s = *scenario;
	s->g = g_rand_new_with_seed(seed);
	s->heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	for (int i = 0; i < s->s.servers; i++) {
		struct server *v = &s->servers[i];
		struct bb_queue_options o = { .slots = SLOTS,
					      .refuse = refused,
					      .data = v };

		v->sim = s;
		g_queue_init(&v->fifo);
		if (s->s.queueing == QUEUE_FAIR)
			v->q = bb_queue_new(&o);
	}
	const struct bb_retry_limits limits = bb_retry_limits_default();

	for (int i = 0; i < ENTRIES; i++) {
		struct bb_balance_options o = { .config = config,
						.seed = seed + (uint64_t)i };

		s->balance[i] = bb_balance_new(&o);
		bb_retry_budget_init(&s->budget[i], &limits, 0);
	}
	for (int i = 0; i < ACCOUNTS; i++) {
		s->latency[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
		schedule_arrival(s, i);
	}
}

static void release(struct sim *s)
{
	while (s->heap->len) {
		struct event e = next_event(s);

		if (e.r && e.r->path)
			bb_path_release(e.r->path);
		g_free(e.r);
	}
	for (int i = 0; i < s->s.servers; i++) {
		bb_queue_delete(s->servers[i].q);
		g_queue_clear(&s->servers[i].fifo);
	}
	for (int i = 0; i < ENTRIES; i++)
		bb_balance_delete(s->balance[i]);
	for (int i = 0; i < ACCOUNTS; i++)
		g_array_free(s->latency[i], TRUE);
	g_array_free(s->heap, TRUE);
	g_rand_free(s->g);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static double p99_ms(GArray *a)
{
	guint n;

	if (!a->len)
		return INFINITY;
	g_array_sort(a, compare_times);
	n = a->len * 99 / 100;
	return (double)g_array_index(a, int64_t, n) / 1e3;
}

/* Worst of the accounts within their rate; all accounts when none exceeds. */
static struct result evaluate(struct sim *s)
{
	struct result x = { .success = 100 };
	uint64_t all = 0;
	uint64_t inside = 0;
	bool greedy = s->s.excess > 1 || s->s.slow > 1;

	for (int i = 0; i < ACCOUNTS; i++) {
		uint64_t ended = s->ok[i] + s->failed[i];
		double ok = 100.0 * (double)s->ok[i] / (double)ended;

		all += ended;
		if (!i && greedy) {
			x.first_success = ok;
			continue;
		}
		inside += ended;
		x.success = fmin(x.success, ok);
		x.p99_ms = fmax(x.p99_ms, p99_ms(s->latency[i]));
		x.refused += (double)s->failed[i];
	}
	x.refused *= 100.0 / (double)inside;
	x.amplification = (double)s->attempts / (double)all;
	return x;
}

static struct result simulate(const struct scenario *scenario, guint32 seed)
{
	struct bb_config *config = make_config((size_t)scenario->servers);
	struct sim *s = g_new0(struct sim, 1);
	struct result x;

	init(s, scenario, config, seed);
	for (;;) {
		struct event e = next_event(s);

		s->now_us = e.at_us;
		if (s->now_us > RUN_US) {
			g_free(e.r);
			break;
		}
		switch (e.type) {
		case EVENT_ARRIVAL:
			arrive(s, e.account);
			break;
		case EVENT_SERVER:
			at_server(s, e.r);
			break;
		case EVENT_FINISH:
			finish(s, e.r);
			break;
		case EVENT_RESULT:
			result(s, e.r, &e.load);
			break;
		case EVENT_REPORT:
			learn(s, e.node, e.server, &e.load);
			break;
		}
	}
	x = evaluate(s);
	release(s);
	g_free(s);
	free_config(config);
	return x;
}

static void report(const char *name, const struct scenario *s)
{
	double success[SEEDS];
	double first[SEEDS];
	double p99[SEEDS];
	double refusals[SEEDS];
	double amplification[SEEDS];

	for (guint32 i = 0; i < SEEDS; i++) {
		struct result x = simulate(s, i + 1);

		success[i] = x.success;
		first[i] = x.first_success;
		p99[i] = x.p99_ms;
		refusals[i] = x.refused;
		amplification[i] = x.amplification;
	}
	printf("| %s | %d", name, s->servers);
	print_median(success);
	print_median(p99);
	print_median(refusals);
	print_median(first);
	print_median(amplification);
	printf(" |\n");
}

static void print_head(const char *title)
{
	printf("\n%s\n\n| case | servers | worst success %% | worst p99 ms | "
	       "refused inside the rate %% | success of the greedy account %% | "
	       "attempts per request |\n|---|---|---|---|---|---|---|\n",
	       title);
}

static void bench_fairness(void)
{
	static const char *const names[] = { "fair queue", "FIFO", "no queue" };
	struct scenario s = { .load = 0.7, .slow_server = 1 };

	for (int slow = 0; slow < 3; slow++) {
		s.excess = slow == 1 ? 1 : 5;
		s.slow = slow == 1 ? 10 : 1;
		s.booking = slow == 2;
		print_head(slow == 0 ? "Account 0 sends 5 times its rate" :
			   slow == 1 ? "Requests of account 0 take 10 times "
				       "as long" :
				       "Account 0 sends 5 times its rate, all "
				       "requests are bookings");
		for (s.servers = 5; s.servers <= 25; s.servers += 20)
			for (int q = QUEUE_FAIR; q <= QUEUE_NONE; q++) {
				s.queueing = q;
				s.retrying = RETRY_NEVER;
				report(names[q], &s);
			}
	}
}

static void bench_balance(void)
{
	static const char *const names[] = { "two choices", "random",
					     "round robin", "least reported" };
	static const char *const titles[] = {
		"Load balancing, equal servers, reports 1 ms old",
		"Load balancing, equal servers, reports 101 ms old",
		"Load balancing, one server 3 times slower, reports 1 ms old",
		"Load balancing, one server 3 times slower, reports 101 ms old",
	};
	struct scenario s = {
		.load = 0.7, .excess = 1, .slow = 1, .retrying = RETRY_NEVER
	};

	for (int i = 0; i < 4; i++) {
		s.slow_server = i & 2 ? 3 : 1;
		s.report_us = i & 1 ? 100 * BB_US_PER_MS : 0;
		print_head(titles[i]);
		for (s.servers = 5; s.servers <= 25; s.servers += 20)
			for (int b = 0; b <= BALANCE_LEAST; b++) {
				s.balancing = b;
				report(names[b], &s);
			}
	}
}

static void bench_retries(void)
{
	static const char *const names[] = { "budget", "always", "never" };
	struct scenario s = { .servers = 25,
			      .excess = 1,
			      .slow = 1,
			      .slow_server = 1,
			      .booking = true };

	for (int i = 0; i < 2; i++) {
		s.load = i ? 2 : 1.05;
		print_head(i ? "Retries, bookings, load of 200%" :
			       "Retries, bookings, load of 105%");
		for (int r = 0; r <= RETRY_NEVER; r++) {
			s.retrying = r;
			report(names[r], &s);
		}
	}
}

int main(void)
{
	bench_fairness();
	bench_balance();
	bench_retries();
	return 0;
}
