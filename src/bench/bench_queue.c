/*
 * Measures the fairness of the queue, load balancing with late reports, and
 * retries under overload.
 *
 * A discrete-event simulation with fixed seeds gives the modules of libroute
 * and the baselines the same arrivals.
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
#define ENTRY_NODES 5
#define SLOTS BENCH_SLOTS
#define SERVERS_MAX 25
#define SEEDS BENCH_RUNS
#define RUN_US (60 * BB_US_PER_S)
/* Mean of the exponentially distributed service time. */
#define SERVICE_US 20000.0
#define TIMEOUT_US (500 * BB_US_PER_MS)
/* One-way network delay between nodes. */
#define HOP_US (1 * BB_US_PER_MS)
#define FIFO_LENGTH_MAX 128

enum queue_method { QUEUE_FAIR, QUEUE_FIFO, QUEUE_NONE };
enum balance_method {
	BALANCE_TWO_CHOICES,
	BALANCE_RANDOM,
	BALANCE_ROUND_ROBIN,
	BALANCE_LEAST_LOADED
};
enum retry_method { RETRY_BUDGET, RETRY_ALWAYS, RETRY_NEVER };

/**
 * struct scenario - one case of a table.
 * @load: utilization when every client account sends its rate
 * @rate_factor: account 0 sends this many times its rate
 * @service_factor: requests of account 0 take this many times as long
 * @server_factor: backend server 0 takes this many times as long
 * @booking: requests are bookings, which are not idempotent
 * @report_us: age of load reports when they arrive, besides HOP_US
 */
struct scenario {
	int servers;
	double load;
	double rate_factor;
	double service_factor;
	double server_factor;
	bool booking;
	int64_t report_us;
	enum queue_method queue_method;
	enum balance_method balance_method;
	enum retry_method retry_method;
};

/* A request from its arrival to its last result. */
struct request {
	struct bb_queue_entry entry;
	int account;
	int node;
	uint32_t attempts;
	uint32_t tried[BB_RETRY_ATTEMPTS_MAX];
	int64_t arrived_us;
	double service_us;
	uint32_t server;
	struct bb_path *path;
	bool ok;
	enum bb_reason reason;
};

enum event_type {
	EVENT_ARRIVAL,
	EVENT_SERVER_ARRIVAL,
	EVENT_FINISH,
	EVENT_RESULT,
	EVENT_REPORT
};

/* Events at the same time come in @order. */
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

/* A backend server. @fifo and @running are used without a struct bb_queue. */
struct server {
	struct sim *sim;
	struct bb_queue *queue;
	GQueue fifo;
	uint32_t running;
};

/**
 * struct sim - the simulation.
 * @heap: binary heap of the pending events
 * @next_order: order of the next event
 * @reported: latest load reports that each entry node got
 * @next_server: next server of each entry node in round robin
 * @ok: requests answered, by account
 * @failed: requests refused, by account
 * @latency: times of the answered requests, by account
 * @attempts: attempts of all ended requests
 */
struct sim {
	struct scenario scenario;
	GRand *rand;
	int64_t now_us;
	GArray *heap;
	uint64_t next_order;
	struct server servers[SERVERS_MAX];
	struct bb_balance *balance[ENTRY_NODES];
	struct bb_load reported[ENTRY_NODES][SERVERS_MAX];
	uint32_t next_server[ENTRY_NODES];
	struct bb_retry_budget budget[ENTRY_NODES];
	uint64_t ok[ACCOUNTS];
	uint64_t failed[ACCOUNTS];
	GArray *latency[ACCOUNTS];
	uint64_t attempts;
};

/**
 * struct result - figures of one run, over the accounts within their rate.
 * @success: percent of answered requests, of the worst account
 * @first_success: the same of account 0 if it exceeds its rate
 * @p99_ms: 99th percentile of the latency, of the worst account
 * @amplification: attempts per request, of all accounts
 * @refused: percent of refused requests
 */
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

	e.order = s->next_order++;
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

/* Rate of one client account in requests a second. */
static double account_rate_per_s(const struct scenario *s)
{
	return s->load * s->servers * SLOTS * 1e6 / SERVICE_US / ACCOUNTS;
}

static void schedule_arrival(struct sim *s, int account)
{
	double x = account_rate_per_s(&s->scenario) *
		   (account ? 1 : s->scenario.rate_factor);

	add_event(s, (struct event){
			     .at_us = s->now_us +
				      (int64_t)exponential(s->rand, 1e6 / x),
			     .type = EVENT_ARRIVAL,
			     .account = account });
}

static struct bb_load server_load(const struct server *v)
{
	struct bb_load l = {
		.in_flight = v->running,
		.queued = v->fifo.length,
		.slots = SLOTS,
	};

	return v->queue ? bb_queue_load(v->queue, 0) : l;
}

/* Sends the result of an attempt and the load to the entry node. */
static void send_result(struct server *v, struct request *r,
			enum bb_reason reason)
{
	struct sim *s = v->sim;

	r->ok = !reason;
	r->reason = reason;
	add_event(s, (struct event){ .at_us = s->now_us + HOP_US,
				     .type = EVENT_RESULT,
				     .r = r,
				     .load = server_load(v) });
}

static void on_refused(void *data, struct bb_queue_entry *e,
		       enum bb_reason reason)
{
	send_result(data, (struct request *)e, reason);
}

static void run_request(struct server *v, struct request *r)
{
	double us = r->service_us;

	if (r->server == 0)
		us *= v->sim->scenario.server_factor;
	add_event(v->sim, (struct event){ .at_us = v->sim->now_us + (int64_t)us,
					  .type = EVENT_FINISH,
					  .r = r });
}

static void start_requests(struct server *v)
{
	int64_t now_us = v->sim->now_us;
	struct bb_queue_entry *e;
	int64_t wake_us;

	if (v->queue) {
		bb_queue_expire(v->queue, now_us);
		while ((e = bb_queue_pop(v->queue, SLOTS, now_us, &wake_us)))
			run_request(v, (struct request *)e);
		return;
	}
	while (v->running < SLOTS && v->fifo.length) {
		struct request *r = g_queue_pop_head(&v->fifo);

		if (r->entry.not_after_us <= now_us) {
			send_result(v, r, BB_REASON_DEADLINE);
			continue;
		}
		v->running++;
		run_request(v, r);
	}
}

static void arrive_at_server(struct sim *s, struct request *r)
{
	struct server *v = &s->servers[r->server];
	enum bb_reason reason = BB_REASON_NONE;

	if (v->queue)
		reason = bb_queue_push(v->queue, &r->entry, s->now_us);
	else if (v->running + v->fifo.length >=
		 SLOTS + (s->scenario.queue_method == QUEUE_FIFO ?
				  FIFO_LENGTH_MAX :
				  0))
		reason = BB_REASON_QUEUE_FULL;
	else
		g_queue_push_tail(&v->fifo, r);
	if (reason)
		send_result(v, r, reason);
	start_requests(v);
}

static uint32_t least_loaded(struct sim *s, int node)
{
	uint32_t best = 0;

	for (uint32_t i = 1; i < (uint32_t)s->scenario.servers; i++)
		if (s->reported[node][i].in_flight +
			    s->reported[node][i].queued <
		    s->reported[node][best].in_flight +
			    s->reported[node][best].queued)
			best = i;
	return best;
}

static void send_request(struct sim *s, struct request *r)
{
	uint32_t n = (uint32_t)s->scenario.servers;
	struct bb_choice c;

	r->path = NULL;
	switch (s->scenario.balance_method) {
	case BALANCE_TWO_CHOICES:
		c = bb_balance_choose(s->balance[r->node], r->tried,
				      r->attempts, s->now_us);
		r->server = c.backend == BB_NO_ROW ? 0 : c.backend;
		r->path = c.path;
		break;
	case BALANCE_RANDOM:
		r->server = g_rand_int_range(s->rand, 0, (gint32)n);
		break;
	case BALANCE_ROUND_ROBIN:
		r->server = s->next_server[r->node]++ % n;
		break;
	case BALANCE_LEAST_LOADED:
		r->server = least_loaded(s, r->node);
		break;
	}
	r->tried[r->attempts++] = r->server;
	add_event(s, (struct event){ .at_us = s->now_us + HOP_US,
				     .type = EVENT_SERVER_ARRIVAL,
				     .r = r });
}

static void arrive(struct sim *s, int account)
{
	struct request *r = g_new0(struct request, 1);

	schedule_arrival(s, account);
	r->account = account;
	r->node = g_rand_int_range(s->rand, 0, ENTRY_NODES);
	r->arrived_us = s->now_us;
	r->service_us = exponential(s->rand, SERVICE_US);
	if (!account)
		r->service_us *= s->scenario.service_factor;
	r->entry.account = (uint64_t)account;
	r->entry.weight = 1;
	r->entry.not_after_us = s->now_us + TIMEOUT_US;
	r->entry.idempotent = !s->scenario.booking;
	bb_retry_budget_deposit(&s->budget[r->node]);
	send_request(s, r);
}

static bool may_retry(struct sim *s, struct request *r)
{
	struct bb_retry_attempt a = {
		.idempotent = true,
		.verdict = BB_VERDICT_NOT_RUN,
		.reason = r->reason,
		.attempts = r->attempts,
		.deadline_us = r->arrived_us + TIMEOUT_US,
	};

	if (s->scenario.retry_method == RETRY_BUDGET)
		return bb_retry_decide(&s->budget[r->node], &a, s->now_us) ==
		       BB_RETRY_YES;
	return s->scenario.retry_method == RETRY_ALWAYS &&
	       r->attempts < BB_RETRY_ATTEMPTS_MAX && s->now_us < a.deadline_us;
}

/* Processes a load report of a backend server at an entry node. */
static void receive_report(struct sim *s, int node, uint32_t server,
			   const struct bb_load *load)
{
	struct bb_balance *b = s->balance[node];

	s->reported[node][server] = *load;
	bb_balance_report(b, bb_balance_path(b, server), load, s->now_us);
}

static void receive_result(struct sim *s, struct request *r,
			   const struct bb_load *load)
{
	int64_t took_us = s->now_us - r->arrived_us;

	if (r->path)
		bb_path_release(r->path);
	r->path = NULL;
	add_event(s, (struct event){ .at_us = s->now_us + s->scenario.report_us,
				     .type = EVENT_REPORT,
				     .node = r->node,
				     .server = r->server,
				     .load = *load });
	if (!r->ok && may_retry(s, r)) {
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

	if (v->queue)
		bb_queue_finish(v->queue, &r->entry, true, s->now_us);
	else
		v->running--;
	send_result(v, r, BB_REASON_NONE);
	start_requests(v);
}

static void sim_init(struct sim *s, const struct scenario *scenario,
		     const struct bb_config *config, guint32 seed)
{
	s->scenario = *scenario;
	s->rand = g_rand_new_with_seed(seed);
	s->heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	for (int i = 0; i < s->scenario.servers; i++) {
		struct server *v = &s->servers[i];
		struct bb_queue_options o = { .slots = SLOTS,
					      .refuse = on_refused,
					      .data = v };

		v->sim = s;
		g_queue_init(&v->fifo);
		if (s->scenario.queue_method == QUEUE_FAIR)
			v->queue = bb_queue_new(&o);
	}
	const struct bb_retry_limits limits = bb_retry_limits_default();

	for (int i = 0; i < ENTRY_NODES; i++) {
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

static void sim_release(struct sim *s)
{
	while (s->heap->len) {
		struct event e = next_event(s);

		if (e.r && e.r->path)
			bb_path_release(e.r->path);
		g_free(e.r);
	}
	for (int i = 0; i < s->scenario.servers; i++) {
		bb_queue_delete(s->servers[i].queue);
		g_queue_clear(&s->servers[i].fifo);
	}
	for (int i = 0; i < ENTRY_NODES; i++)
		bb_balance_delete(s->balance[i]);
	for (int i = 0; i < ACCOUNTS; i++)
		g_array_free(s->latency[i], TRUE);
	g_array_free(s->heap, TRUE);
	g_rand_free(s->rand);
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

/* Account 0 is left out if it exceeds its rate or its requests take longer. */
static struct result evaluate(struct sim *s)
{
	struct result x = { .success = 100 };
	uint64_t all = 0;
	uint64_t within_rate = 0;
	bool exceeds = s->scenario.rate_factor > 1 ||
		       s->scenario.service_factor > 1;

	for (int i = 0; i < ACCOUNTS; i++) {
		uint64_t ended = s->ok[i] + s->failed[i];
		double ok = 100.0 * (double)s->ok[i] / (double)ended;

		all += ended;
		if (!i && exceeds) {
			x.first_success = ok;
			continue;
		}
		within_rate += ended;
		x.success = fmin(x.success, ok);
		x.p99_ms = fmax(x.p99_ms, p99_ms(s->latency[i]));
		x.refused += (double)s->failed[i];
	}
	x.refused *= 100.0 / (double)within_rate;
	x.amplification = (double)s->attempts / (double)all;
	return x;
}

static struct result simulate(const struct scenario *scenario, guint32 seed)
{
	struct bb_config *config = make_config((size_t)scenario->servers);
	struct sim *s = g_new0(struct sim, 1);
	struct result x;

	sim_init(s, scenario, config, seed);
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
		case EVENT_SERVER_ARRIVAL:
			arrive_at_server(s, e.r);
			break;
		case EVENT_FINISH:
			finish(s, e.r);
			break;
		case EVENT_RESULT:
			receive_result(s, e.r, &e.load);
			break;
		case EVENT_REPORT:
			receive_report(s, e.node, e.server, &e.load);
			break;
		}
	}
	x = evaluate(s);
	sim_release(s);
	g_free(s);
	free_config(config);
	return x;
}

static void measure_scenario(const char *name, const struct scenario *s)
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
	struct scenario s = { .load = 0.7, .server_factor = 1 };

	for (int slow = 0; slow < 3; slow++) {
		s.rate_factor = slow == 1 ? 1 : 5;
		s.service_factor = slow == 1 ? 10 : 1;
		s.booking = slow == 2;
		print_head(slow == 0 ? "Account 0 sends 5 times its rate" :
			   slow == 1 ? "Requests of account 0 take 10 times "
				       "as long" :
				       "Account 0 sends 5 times its rate, all "
				       "requests are bookings");
		for (s.servers = 5; s.servers <= 25; s.servers += 20)
			for (int q = QUEUE_FAIR; q <= QUEUE_NONE; q++) {
				s.queue_method = q;
				s.retry_method = RETRY_NEVER;
				measure_scenario(names[q], &s);
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
	struct scenario s = { .load = 0.7,
			      .rate_factor = 1,
			      .service_factor = 1,
			      .retry_method = RETRY_NEVER };

	for (int i = 0; i < 4; i++) {
		s.server_factor = i & 2 ? 3 : 1;
		s.report_us = i & 1 ? 100 * BB_US_PER_MS : 0;
		print_head(titles[i]);
		for (s.servers = 5; s.servers <= 25; s.servers += 20)
			for (int b = 0; b <= BALANCE_LEAST_LOADED; b++) {
				s.balance_method = b;
				measure_scenario(names[b], &s);
			}
	}
}

static void bench_retries(void)
{
	static const char *const names[] = { "budget", "always", "never" };
	struct scenario s = { .servers = 25,
			      .rate_factor = 1,
			      .service_factor = 1,
			      .server_factor = 1,
			      .booking = true };

	for (int i = 0; i < 2; i++) {
		s.load = i ? 2 : 1.05;
		print_head(i ? "Retries, bookings, load of 200%" :
			       "Retries, bookings, load of 105%");
		for (int r = 0; r <= RETRY_NEVER; r++) {
			s.retry_method = r;
			measure_scenario(names[r], &s);
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
