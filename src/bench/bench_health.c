/*
 * Measures failure detection: time to detection and false ejections, compared
 * with two baselines that see the same outcomes; readmission, CPU time per
 * outcome, memory, and the traffic of pool summaries.
 *
 * usage: bench_health [POOL_SIZE | noise [POOL_SIZE] | cost | summaries]
 */
#include <malloc.h>
#include <stdlib.h>

#include "baobabward/log.h"
#include "bench/member_sim.h"
#include "health_model.h"

#define SEEDS 20
#define WARM_UP_US (40 * BB_US_PER_S)
#define DETECT_MAX_US (60 * BB_US_PER_S)
#define HEALTHY_US (600 * BB_US_PER_S)
/* Baselines, with the usual defaults of outlier detection in proxies. */
#define CONSECUTIVE_FAILURES 5
#define INTERVAL_US (10 * BB_US_PER_S)
#define INTERVAL_MIN_REQUESTS 20
#define INTERVAL_MIN_BACKENDS 3
#define OUTLIER_STDEVS 1.9
#define BASELINE_EJECTION_US (30 * BB_US_PER_S)

enum detector {
	DETECTOR_HEALTH,
	DETECTOR_CONSECUTIVE,
	DETECTOR_OUTLIER,
	DETECTOR_COUNT
};

/**
 * struct run - a simulated pool and the ejections of each detector.
 * @failures: consecutive failures
 * @requests: requests of the current interval
 * @successes: successes of the current interval
 * @count_after_us: further ejections are not counted until then
 * @was_ejected: state at the last tick
 * @interval_us: start of the current interval
 * @detected_us: time from the fault to the ejection of the faulty backend
 *		 server, 0 if it was not ejected
 * @false_ejections: ejections of backend servers without a fault
 */
struct run {
	struct model m;
	unsigned int failures[MODEL_BACKENDS_MAX];
	unsigned int requests[MODEL_BACKENDS_MAX];
	unsigned int successes[MODEL_BACKENDS_MAX];
	int64_t count_after_us[DETECTOR_COUNT][MODEL_BACKENDS_MAX];
	bool was_ejected[MODEL_BACKENDS_MAX];
	int64_t interval_us;
	int64_t detected_us[DETECTOR_COUNT];
	unsigned int false_ejections[DETECTOR_COUNT];
	unsigned int false_ejections_total;
};

/* Whether the backend server has a fault for which it may be ejected. */
static bool may_be_ejected(const struct run *r, size_t backend)
{
	int64_t since_us = r->m.now_us - r->m.fault_us;

	if (backend || since_us < 0)
		return false;
	/* A restarting server refuses connections for 0.5 s. */
	return r->m.fault <= FAULT_FLAPPING ||
	       (r->m.fault == FAULT_COLD_START && since_us < BB_US_PER_S);
}

static void record_ejection(struct run *r, enum detector d, size_t backend)
{
	if (r->m.now_us < r->count_after_us[d][backend])
		return;
	r->count_after_us[d][backend] = r->m.now_us + BASELINE_EJECTION_US;
	if (!may_be_ejected(r, backend))
		r->false_ejections[d]++;
	else if (!r->detected_us[d])
		r->detected_us[d] = r->m.now_us - r->m.fault_us;
}

static void on_outcome(void *data, const struct bb_health_outcome *o,
		       int64_t now_us)
{
	struct run *r = data;
	size_t b = o->backend;
	bool failed = o->kind != BB_OUTCOME_OK &&
		      o->kind != BB_OUTCOME_CLIENT_ERROR;

	(void)now_us;
	if (o->class_id == BB_HEALTH_CLASS_PROBE)
		return;
	r->requests[b]++;
	r->successes[b] += !failed;
	r->failures[b] = failed ? r->failures[b] + 1 : 0;
	if (r->failures[b] >= CONSECUTIVE_FAILURES) {
		r->failures[b] = 0;
		record_ejection(r, DETECTOR_CONSECUTIVE, b);
	}
}

/*
 * Ejects backend servers whose success rate is more than OUTLIER_STDEVS
 * standard deviations below the mean of the pool.
 */
static void evaluate_interval(struct run *r)
{
	double rates[MODEL_BACKENDS_MAX], mean = 0, variance = 0;
	unsigned int nr = 0;

	for (size_t i = 0; i < r->m.nr; i++) {
		rates[i] = -1;
		if (r->requests[i] < INTERVAL_MIN_REQUESTS)
			continue;
		rates[i] = (double)r->successes[i] / r->requests[i];
		mean += rates[i];
		nr++;
	}
	mean /= MAX(nr, 1);
	for (size_t i = 0; i < r->m.nr; i++)
		if (rates[i] >= 0)
			variance += (rates[i] - mean) * (rates[i] - mean);
	variance /= MAX(nr, 1);
	for (size_t i = 0; i < r->m.nr; i++) {
		if (nr >= INTERVAL_MIN_BACKENDS && rates[i] >= 0 &&
		    rates[i] < mean - OUTLIER_STDEVS * sqrt(variance))
			record_ejection(r, DETECTOR_OUTLIER, i);
		r->requests[i] = r->successes[i] = 0;
	}
}

static void run_step(struct run *r)
{
	model_step(&r->m);
	if (r->m.now_us % MODEL_TICK_US)
		return;
	for (size_t i = 0; i < r->m.nr; i++) {
		bool now = model_ejected(&r->m, i);

		if (now && !r->was_ejected[i])
			record_ejection(r, DETECTOR_HEALTH, i);
		r->was_ejected[i] = now;
	}
	if (r->m.now_us - r->interval_us >= INTERVAL_US) {
		r->interval_us = r->m.now_us;
		evaluate_interval(r);
	}
}

static struct run *run_new(size_t nr, double rate, uint32_t seed)
{
	struct run *r = g_new0(struct run, 1);

	model_init(&r->m, nr, rate, seed);
	r->m.on_outcome = on_outcome;
	r->m.data = r;
	return r;
}

static void run_delete(struct run *r)
{
	model_finish(&r->m);
	g_free(r);
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/*
 * Prints the median and the worst time to detection. Runs without detection
 * count as DETECT_MAX_US.
 */
static void measure_detection(size_t nr, double rate, enum model_fault fault)
{
	double times[DETECTOR_COUNT][SEEDS];
	unsigned int missed[DETECTOR_COUNT] = { 0 };

	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		struct run *r = run_new(nr, rate, seed + 1);

		while (r->m.now_us < 1000 * BB_US_PER_S + WARM_UP_US)
			run_step(r);
		r->m.fault = fault;
		r->m.fault_us = r->m.now_us;
		while (r->m.now_us - r->m.fault_us < DETECT_MAX_US &&
		       !r->detected_us[DETECTOR_HEALTH])
			run_step(r);
		/*
		 * Withdraw the permits: while nothing is ejected, the baselines
		 * see the requests to the faulty backend server too.
		 */
		r->m.permits_max = 0;
		for (size_t i = 0; i < nr; i++)
			r->m.nodes[i].permit = false;
		while (r->m.now_us - r->m.fault_us < DETECT_MAX_US)
			run_step(r);
		for (int d = 0; d < DETECTOR_COUNT; d++) {
			missed[d] += !r->detected_us[d];
			times[d][seed] = (double)(r->detected_us[d] ?
							  r->detected_us[d] :
							  DETECT_MAX_US) /
					 BB_US_PER_S;
		}
		run_delete(r);
	}
	printf("| %zu | %g | %s |", nr, rate, model_fault_string[fault]);
	for (int d = 0; d < DETECTOR_COUNT; d++) {
		qsort(times[d], SEEDS, sizeof(double), compare);
		if (missed[d] == SEEDS)
			printf(" never |");
		else if (missed[d])
			printf(" %.1f / %u of %d missed |", times[d][SEEDS / 2],
			       missed[d], SEEDS);
		else
			printf(" %.1f / %.1f |", times[d][SEEDS / 2],
			       times[d][SEEDS - 1]);
	}
	printf("\n");
	fflush(stdout);
}

/* Counts false ejections, and scales them to a day in this condition. */
static void measure_false_ejections(size_t nr, double rate,
				    enum model_fault fault)
{
	unsigned int false_ejections[DETECTOR_COUNT] = { 0 };
	double days = 0;

	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		struct run *r = run_new(nr, rate, 1000 + seed);
		int64_t end_us = r->m.now_us + HEALTHY_US;

		r->m.fault = fault;
		r->m.fault_us = r->m.now_us + WARM_UP_US;
		while (r->m.now_us < end_us) {
			/* Restart each minute, since some conditions end
			 * on their own. */
			if (r->m.now_us - r->m.fault_us >= 60 * BB_US_PER_S)
				r->m.fault_us = r->m.now_us;
			run_step(r);
		}
		for (int d = 0; d < DETECTOR_COUNT; d++)
			false_ejections[d] += r->false_ejections[d];
		days += (double)HEALTHY_US / BB_US_PER_S / 86400;
		run_delete(r);
	}
	printf("| %zu | %g | %s |", nr, rate, model_fault_string[fault]);
	for (int d = 0; d < DETECTOR_COUNT; d++)
		printf(" %u (%.0f) |", false_ejections[d],
		       false_ejections[d] / days);
	printf("\n");
	fflush(stdout);
}

/* Scheduling noise on all hosts or on one at a time. */
struct noise {
	const char *name;
	double share; /* of the time */
	bool on_one_host;
};

static const struct noise noises[] = {
	{ "no noise", 0, false },
	{ "noise on all hosts", 0.04, false },
	{ "noise on one host", 0.04, true },
};

static void run_set_noise(struct run *r, const struct noise *n,
			  double median_us)
{
	r->m.median_us = median_us;
	r->m.noise_share = n->share;
	r->m.noise_on_one_host = n->on_one_host;
}

static void measure_under_noise(size_t nr, double rate, const struct noise *n)
{
	unsigned int false_ejections = 0, suspected = 0;

	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		struct run *r = run_new(nr, rate, 2000 + seed);
		int64_t end_us = r->m.now_us + HEALTHY_US;
		bool was_suspect[MODEL_BACKENDS_MAX] = { false };

		run_set_noise(r, n, BB_US_PER_MS);
		while (r->m.now_us < end_us) {
			run_step(r);
			for (size_t i = 0; i < nr; i++) {
				bool now = bb_health_state(r->m.nodes[i].health,
							   (uint32_t)i,
							   r->m.now_us) ==
					   BB_HEALTH_SUSPECT;

				suspected += now && !was_suspect[i];
				was_suspect[i] = now;
			}
		}
		false_ejections += r->false_ejections[DETECTOR_HEALTH];
		run_delete(r);
	}
	printf("| %zu | %g | %s | %u | %u |\n", nr, rate, n->name, suspected,
	       false_ejections);
	fflush(stdout);
}

/*
 * Runs until backend server 0 is readmitted, for at most @for_us. @ejections:
 * how often it was ejected until then, with the one before.
 * Return: whether it was readmitted
 */
static bool wait_for_readmission(struct run *r, int64_t for_us,
				 unsigned int *ejections)
{
	int64_t end_us = r->m.now_us + for_us;
	enum bb_health_state was = BB_HEALTH_EJECTED, now;

	*ejections = 1;
	while (r->m.now_us < end_us) {
		run_step(r);
		now = bb_health_state(r->m.nodes[0].health, 0, r->m.now_us);
		*ejections += now == BB_HEALTH_EJECTED && was != now;
		if (now == BB_HEALTH_RAMPING)
			return true;
		was = now;
	}
	return false;
}

/*
 * Lets backend server 0 be ejected for @fault, which ends at the ejection if
 * @recovers. Prints how many runs readmit it after the first hold-off, how many
 * at all, and the median and worst time from ejection to readmission.
 */
static void measure_readmission(size_t nr, double rate, const struct noise *n,
				double median_us, enum model_fault fault,
				bool recovers)
{
	double times[SEEDS];
	unsigned int after_first = 0, readmitted = 0, ejections;

	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		struct run *r = run_new(nr, rate, 3000 + seed);
		int64_t start_us;

		run_set_noise(r, n, median_us);
		while (r->m.now_us < 1000 * BB_US_PER_S + WARM_UP_US)
			run_step(r);
		r->m.fault = fault;
		r->m.fault_us = r->m.now_us;
		while (!model_ejected(&r->m, 0) &&
		       r->m.now_us - r->m.fault_us < DETECT_MAX_US)
			run_step(r);
		start_us = r->m.now_us;
		if (recovers)
			r->m.fault_end_us = start_us;
		times[seed] = (double)DETECT_MAX_US / BB_US_PER_S;
		if (wait_for_readmission(r, DETECT_MAX_US, &ejections)) {
			times[seed] =
				(double)(r->m.now_us - start_us) / BB_US_PER_S;
			readmitted++;
			after_first += ejections == 1;
		}
		run_delete(r);
	}
	qsort(times, SEEDS, sizeof(double), compare);
	printf("| %zu | %g | %s | %g ms | %s, %s | %u | %u | %.1f / %.1f |\n",
	       nr, rate, n->name, median_us / 1000, model_fault_string[fault],
	       recovers ? "recovered" : "still failing", after_first,
	       readmitted, times[SEEDS / 2], times[SEEDS - 1]);
	fflush(stdout);
}

static void measure_readmissions(size_t nr, double rate)
{
	for (size_t i = 0; i < G_N_ELEMENTS(noises); i++)
		measure_readmission(nr, rate, &noises[i], BB_US_PER_MS,
				    FAULT_DEAD, true);
	measure_readmission(nr, rate, &noises[0], 0, FAULT_DEAD, true);
	measure_readmission(nr, rate, &noises[0], 0, FAULT_SLOW_3, false);
	measure_readmission(nr, rate, &noises[0], 0, FAULT_SLOW_5, false);
}

static void measure_noise(size_t pool_size)
{
	static const size_t sizes[] = { 5, 10, 15, 25 };
	static const double rates[] = { 0.5, 5, 40 };

	printf("\nSuspicions and wrong ejections in %d runs of %d s, answers "
	       "of 1 ms.\n\n"
	       "| pool | requests/s each | condition | suspicions | wrong "
	       "ejections |\n|---|---|---|---|---|\n",
	       SEEDS, (int)(HEALTHY_US / BB_US_PER_S));
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(rates) &&
				   (!pool_size || pool_size == sizes[i]);
		     j++)
			for (size_t k = 0; k < G_N_ELEMENTS(noises); k++)
				measure_under_noise(sizes[i], rates[j],
						    &noises[k]);
	printf("\nReadmission in %d runs within %d s.\n\n"
	       "| pool | requests/s each | condition | answers | case | after "
	       "the first hold-off | readmitted | seconds, median / worst |\n"
	       "|---|---|---|---|---|---|---|---|\n",
	       SEEDS, (int)(DETECT_MAX_US / BB_US_PER_S));
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(rates) &&
				   (!pool_size || pool_size == sizes[i]);
		     j++)
			measure_readmissions(sizes[i], rates[j]);
}

static void measure_cost(void)
{
	struct model m;
	size_t before;
	int64_t start_us, observe_us, tick_us;
	const int rounds = 2000000, ticks = 20000;

	model_init(&m, 25, 50, 1);
	for (int i = 0; i < 4000; i++)
		model_step(&m);
	start_us = bb_clock_now_us();
	for (int i = 0; i < rounds; i++) {
		struct bb_health_outcome o = {
			.backend = 3,
			.class_id = i % 4,
			.account = i % 7,
			.latency_us = 20000 + i % 9000,
		};

		bb_health_observe(m.nodes[3].health, &o, m.now_us + i);
	}
	observe_us = bb_clock_now_us() - start_us;
	start_us = bb_clock_now_us();
	for (int i = 0; i < ticks; i++) {
		struct bb_health_outcome o = {
			.backend = 3,
			.class_id = i % 4,
			.account = i % 7,
			.kind = i % 20 ? BB_OUTCOME_OK : BB_OUTCOME_ERROR,
			.latency_us = 20000 + i % 9000,
		};

		bb_health_observe(m.nodes[3].health, &o, m.now_us + rounds + i);
		bb_health_tick(m.nodes[3].health, m.now_us + rounds + i);
	}
	tick_us = bb_clock_now_us() - start_us;
	printf("\nOutcome: %.0f ns. Tick with one backend server and new "
	       "outcomes: %.1f us.\n",
	       1000.0 * (double)observe_us / rounds, (double)tick_us / ticks);
	model_finish(&m);
	before = mallinfo2().uordblks;
	model_init(&m, 25, 50, 1);
	/* Each node has one backend server and a pool of 25. */
	printf("Memory with a pool of 25: %.1f KB for each backend server.\n",
	       (double)(mallinfo2().uordblks - before) / 25 / 1024);
	model_finish(&m);
}

/*
 * Sums over the summary requests and summaries of a pool. @payload: bytes of
 * the messages; @wire: the same with headers of the transport
 */
struct traffic {
	size_t exchanges;
	size_t items;
	size_t payload;
	size_t wire;
};

static void count_message(struct traffic *t, const struct bb_message *m,
			  bool answer)
{
	size_t size;
	char *data = bb_wire_encode(m, &size, NULL);

	g_assert(data);
	free(data);
	t->payload += size;
	t->wire += sim_wire_bytes(size, answer);
}

static void on_summary(void *data, const struct bb_pool_summary *s, size_t nr)
{
	static const struct bb_bytes name = { "backend-4711", 12 };
	struct bb_message m = { .type = BB_MESSAGE_SUMMARY_REQUEST };
	struct bb_summary_item items[BB_HEALTH_CLASSES];
	struct traffic *t = data;

	m.summary_request.backend = name;
	count_message(t, &m, false);
	for (size_t i = 0; i < nr; i++)
		items[i] = (struct bb_summary_item){
			name,
			s[i].class_id,
			s[i].samples,
			s[i].error_permille,
			s[i].median_us,
			s[i].spread_us,
			s[i].recent_age_ms,
		};
	m.type = BB_MESSAGE_SUMMARY;
	m.summary.items = items;
	m.summary.items_nr = nr;
	count_message(t, &m, true);
	t->exchanges++;
	t->items += nr;
}

/*
 * Target of the fleet: 580 hosts, 7,600 backend servers in 470 services,
 * 100,000 requests/s. This gives the size of a pool, the requests a second of a
 * backend server and the backend servers of a node.
 */
#define TARGET_POOL 16
#define TARGET_RATE_PER_S 13.2
#define TARGET_BACKENDS 13

/*
 * Measures the bytes of pool summaries. A node requests them for each of its
 * backend servers, and gets as many requests from other nodes.
 */
static void measure_summaries(void)
{
	struct traffic t = { 0 };
	double seconds = HEALTHY_US / (double)BB_US_PER_S;
	double per_node;
	struct model m;

	model_init(&m, TARGET_POOL, TARGET_RATE_PER_S, 1);
	while (m.now_us < 1000 * BB_US_PER_S + WARM_UP_US)
		model_step(&m);
	m.on_summary = on_summary;
	m.data = &t;
	while (m.now_us < 1000 * BB_US_PER_S + WARM_UP_US + HEALTHY_US)
		model_step(&m);
	per_node = 2.0 * TARGET_BACKENDS / TARGET_POOL / seconds;
	printf("Summaries of %d backend servers without a fault: %.2f "
	       "questions/s of a pool's member, %.1f items and %.0f bytes an "
	       "exchange; %.0f B/s of payload, %.0f B/s with transport, both "
	       "directions.\n",
	       TARGET_BACKENDS, (double)t.exchanges / TARGET_POOL / seconds,
	       (double)t.items / (double)t.exchanges,
	       (double)t.payload / (double)t.exchanges,
	       per_node * (double)t.payload, per_node * (double)t.wire);
	model_finish(&m);
}

int main(int argc, char **argv)
{
	static const size_t sizes[] = { 5, 10, 15, 25 };
	static const double rates[] = { 0.5, 5, 40 };
	size_t pool_size = 0;

	bb_log_init(NULL, G_LOG_LEVEL_ERROR);
	if (argc > 1 && !strcmp(argv[1], "cost")) {
		measure_cost();
		return EXIT_SUCCESS;
	}
	if (argc > 1 && !strcmp(argv[1], "summaries")) {
		measure_summaries();
		return EXIT_SUCCESS;
	}
	if (argc > 1 && !strcmp(argv[1], "noise")) {
		measure_noise(argc > 2 ? strtoul(argv[2], NULL, 10) : 0);
		return EXIT_SUCCESS;
	}
	/* Pool sizes can be measured by parallel processes. */
	if (argc > 1)
		pool_size = strtoul(argv[1], NULL, 10);
	printf("Detection in seconds, median / worst of %d seeds.\n\n"
	       "| pool | requests/s each | fault | baobabward | consecutive | "
	       "outlier |\n|---|---|---|---|---|---|\n",
	       SEEDS);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(rates) &&
				   (!pool_size || pool_size == sizes[i]);
		     j++)
			for (int f = FAULT_SLOW_3; f <= FAULT_FLAPPING; f++)
				measure_detection(sizes[i], rates[j],
						  (enum model_fault)f);
	printf("\nWrong ejections in %d runs of %d s, and scaled to a day.\n\n"
	       "| pool | requests/s each | condition | baobabward | "
	       "consecutive | outlier |\n|---|---|---|---|---|---|\n",
	       SEEDS, (int)(HEALTHY_US / BB_US_PER_S));
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(rates) &&
				   (!pool_size || pool_size == sizes[i]);
		     j++) {
			measure_false_ejections(sizes[i], rates[j], FAULT_NONE);
			for (int f = FAULT_ACCOUNT; f < FAULT_COUNT; f++)
				measure_false_ejections(sizes[i], rates[j],
							(enum model_fault)f);
		}
	if (!pool_size)
		measure_cost();
	return EXIT_SUCCESS;
}
