/*
 * Measures membership by gossip and compares it with all-to-all heartbeats:
 * bytes a second, age of the evidence, CPU time, memory, and the time until a
 * new version is in force everywhere. Time is simulated; CPU time is real. See
 * docs/measurements/member.md.
 */
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <zmq.h>

#include "baobabward/clock.h"
#include "baobabward/transport.h"
#include "bench/member_sim.h"

#define US_PER_S 1e6

static gint interval_ms = BB_MEMBER_DEFAULT_INTERVAL_US / 1000;
static gint neighbours = BB_MEMBER_DEFAULT_NEIGHBOURS;
static gint entries = BB_MEMBER_DEFAULT_DIGEST_ENTRIES;
static gint runs = 5;
static gint only_hosts;
static gint heartbeat_interval_ms = 1000;
static gboolean only_connection;

static const GOptionEntry options[] = {
	{ "interval-ms", 0, 0, G_OPTION_ARG_INT, &interval_ms,
	  "time between digest requests", "MS" },
	{ "neighbours", 0, 0, G_OPTION_ARG_INT, &neighbours,
	  "peers asked in turn", "N" },
	{ "entries", 0, 0, G_OPTION_ARG_INT, &entries, "seats in a digest",
	  "N" },
	{ "runs", 0, 0, G_OPTION_ARG_INT, &runs, "runs with different seeds",
	  "N" },
	{ "hosts", 0, 0, G_OPTION_ARG_INT, &only_hosts,
	  "measure this number of hosts only", "N" },
	{ "heartbeat-ms", 0, 0, G_OPTION_ARG_INT, &heartbeat_interval_ms,
	  "interval of the all-to-all heartbeats", "MS" },
	{ "connection", 0, 0, G_OPTION_ARG_NONE, &only_connection,
	  "measure heartbeats of a real idle connection only", NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

enum fault {
	FAULT_NONE,
	FAULT_LOSS_10,
	FAULT_LOSS_30,
	FAULT_ONE_WAY,
	FAULT_COUNT
};

static const char *const fault_string[] = { "none", "10% loss", "30% loss",
					    "10% one-way" };

/**
 * struct result - results of one run; times are negative if not reached.
 * @bytes_per_s: sent and received by a node, with headers
 * @start_s: from the start until all nodes see a quorum
 * @quorum_age_s: age of the oldest evidence that a quorum needs, mean
 * @quorum_age_worst_s: the same, greatest
 * @no_quorum_percent: samples in which a node saw no quorum
 * @known_s: until all nodes have accepted a new version
 * @accepted_s: until all nodes know that a quorum has accepted it
 * @restart_s: until the restarted nodes have a version in force
 */
struct result {
	double bytes_per_s;
	double start_s;
	double quorum_age_s;
	double quorum_age_worst_s;
	double no_quorum_percent;
	double known_s;
	double accepted_s;
	double restart_s;
};

static void set_fault(struct sim *s, enum fault fault)
{
	s->loss = fault == FAULT_LOSS_10 ? 0.1 :
		  fault == FAULT_LOSS_30 ? 0.3 :
					   0;
	if (fault != FAULT_ONE_WAY)
		return;
	for (uint32_t i = 0; i < s->nr; i++) {
		for (uint32_t j = 0; j < s->nr; j++)
			s->blocked[(size_t)i * s->nr + j] =
				g_rand_double(s->rand) < 0.1;
	}
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Age of the oldest evidence that the quorum of node @i needs, in seconds. */
static double quorum_age(struct sim *s, uint32_t i, double *ages)
{
	struct sim_node *n = &s->nodes[i];

	for (uint32_t j = 0; j < s->nr; j++) {
		int64_t age =
			j == i ? 0 :
			s->all_to_all ?
				 sim_clock(n) - n->heartbeats.evidence_us[j] :
				 bb_member_age_us(n->m, j, sim_clock(n));

		ages[j] = MIN((double)age / US_PER_S, 1e3);
	}
	qsort(ages, s->nr, sizeof(*ages), compare);
	return ages[bb_member_quorum_size(s->nr) - 1];
}

static uint32_t count_quorum(struct sim *s)
{
	uint32_t nr = 0;

	for (uint32_t i = 0; i < s->nr; i++)
		nr += sim_quorum(s, i);
	return nr;
}

/* Samples all nodes four times a second. */
static void measure_steady(struct sim *s, struct result *r)
{
	double *ages = g_new(double, s->nr + 1), age, sum = 0;
	uint32_t samples = 0, without = 0;
	const int seconds = 30;

	for (uint32_t i = 0; i < s->nr; i++)
		s->nodes[i].bytes = 0;
	r->quorum_age_worst_s = 0;
	for (int t = 0; t < 4 * seconds; t++) {
		sim_run(s, 250000);
		for (uint32_t i = 0; i < s->nr; i++, samples++) {
			age = quorum_age(s, i, ages);
			sum += age;
			r->quorum_age_worst_s = MAX(r->quorum_age_worst_s, age);
			without += !sim_quorum(s, i);
		}
	}
	r->quorum_age_s = sum / samples;
	r->no_quorum_percent = 100.0 * without / samples;
	r->bytes_per_s = 0;
	for (uint32_t i = 0; i < s->nr; i++)
		r->bytes_per_s += (double)s->nodes[i].bytes / s->nr / seconds;
	g_free(ages);
}

/*
 * Whether all nodes have accepted a version and, if @by_quorum, know that a
 * quorum has done so.
 */
static bool accepted_everywhere(struct sim *s, uint64_t version, bool by_quorum)
{
	for (uint32_t i = 0; i < s->nr; i++) {
		struct sim_node *n = &s->nodes[i];
		size_t nr = 0;

		if (n->config->version < version)
			return false;
		if (!by_quorum)
			continue;
		if (!s->all_to_all) {
			if (!bb_member_quorum_accepted(n->m, version))
				return false;
			continue;
		}
		for (uint32_t j = 0; j < s->nr; j++)
			nr += j == i || n->heartbeats.version[j] >= version;
		if (nr < bb_member_quorum_size(s->nr))
			return false;
	}
	return true;
}

/* Lets one node accept a version; the others learn of it and fetch it. */
static void measure_version(struct sim *s, struct result *r,
			    const struct bb_config *c)
{
	int64_t start = s->now_us;

	s->newest = c;
	s->fetch_us = 5000;
	r->known_s = r->accepted_s = -1;
	sim_accept(&s->nodes[0], c);
	while (s->now_us - start < 120 * G_USEC_PER_SEC) {
		sim_run(s, 50000);
		if (r->known_s < 0 && accepted_everywhere(s, c->version, false))
			r->known_s = (double)(s->now_us - start) / US_PER_S;
		if (accepted_everywhere(s, c->version, true)) {
			r->accepted_s = (double)(s->now_us - start) / US_PER_S;
			return;
		}
	}
}

/*
 * Restarts a tenth of the nodes at once. Not measured with all-to-all
 * heartbeats, which put no version in force.
 */
static void measure_restart(struct sim *s, struct result *r,
			    const struct bb_config *c)
{
	uint32_t nr = s->nr / 10 + 1, left = nr;
	int64_t start = s->now_us;

	r->restart_s = -1;
	if (s->all_to_all)
		return;
	for (uint32_t i = 0; i < nr; i++)
		sim_start(s, i, c);
	while (left && s->now_us - start < 60 * G_USEC_PER_SEC) {
		sim_run(s, 50000);
		left = 0;
		for (uint32_t i = 0; i < nr; i++)
			left += !bb_member_in_force(s->nodes[i].m);
	}
	r->restart_s = (double)(s->now_us - start) / US_PER_S;
}

static void run_once(uint32_t nr, enum fault fault, bool all_to_all,
		     uint32_t seed, struct result *r)
{
	struct bb_config *a = sim_config(1, 0, nr), *b = sim_config(2, 0, nr);
	struct bb_member_options o = { 0 };
	struct sim *s;
	int64_t start;

	o.interval_us =
		1000 * (all_to_all ? heartbeat_interval_ms : interval_ms);
	o.neighbours = (uint32_t)neighbours;
	o.digest_entries = (uint32_t)entries;
	s = sim_new(nr, seed, a, &o, all_to_all);
	set_fault(s, fault);
	start = s->now_us;
	while (count_quorum(s) < nr && s->now_us < start + 60 * G_USEC_PER_SEC)
		sim_run(s, 100000);
	r->start_s = (double)(s->now_us - start) / US_PER_S;
	sim_run(s, 20 * G_USEC_PER_SEC);
	measure_steady(s, r);
	measure_version(s, r, b);
	measure_restart(s, r, b);
	sim_delete(s);
	sim_config_delete(a);
	sim_config_delete(b);
}

static double result_field(const struct result *r, size_t offset)
{
	return *(const double *)((const char *)r + offset);
}

/* Prints the median and the range of one field over the runs. */
static void print_field(const struct result *r, size_t offset)
{
	double *v = g_new0(double, (size_t)runs + 1);

	for (gint i = 0; i < runs; i++)
		v[i] = result_field(&r[i], offset);
	qsort(v, (size_t)runs, sizeof(*v), compare);
	printf(" | %.4g (%.4g-%.4g)", v[runs / 2], v[0], v[runs - 1]);
	g_free(v);
}

static void measure(uint32_t nr, enum fault fault, bool all_to_all)
{
	static const size_t offsets[] = {
		offsetof(struct result, bytes_per_s),
		offsetof(struct result, start_s),
		offsetof(struct result, quorum_age_s),
		offsetof(struct result, quorum_age_worst_s),
		offsetof(struct result, no_quorum_percent),
		offsetof(struct result, known_s),
		offsetof(struct result, accepted_s),
		offsetof(struct result, restart_s),
	};
	struct result *r = g_new0(struct result, (size_t)runs + 1);

	for (gint i = 0; i < runs; i++)
		run_once(nr, fault, all_to_all, (uint32_t)(100 + i), &r[i]);
	printf("| %u | %s | %s", nr, fault_string[fault],
	       all_to_all ? "all-to-all" : "gossip");
	for (size_t i = 0; i < G_N_ELEMENTS(offsets); i++)
		print_field(r, offsets[i]);
	printf(" |\n");
	fflush(stdout);
	g_free(r);
}

/*
 * Measures the CPU time to answer a digest request, to decode an answer and of
 * a simulated node, and the memory.
 */
static void measure_cpu(uint32_t nr)
{
	struct bb_config *c = sim_config(1, 0, nr);
	struct bb_member_options o = { 0 };
	struct sim *s;
	struct bb_message request = { .type = BB_MESSAGE_DIGEST_REQUEST };
	const struct bb_message *reply = NULL;
	const int rounds = 20000;
	gint64 start;
	double answer_us, decode_us;
	size_t size = 0;
	char *data;

	o.digest_entries = (uint32_t)entries;
	s = sim_new(nr, 1, c, &o, false);
	sim_run(s, 20 * G_USEC_PER_SEC);
	request.digest_request.max_entries = (uint32_t)entries;
	start = g_get_monotonic_time();
	for (int i = 0; i < rounds; i++) {
		reply = bb_member_receive(s->nodes[0].m, 1, &request,
					  sim_clock(&s->nodes[0]));
		free(bb_wire_encode(reply, &size, NULL));
	}
	answer_us = (double)(g_get_monotonic_time() - start) / rounds;
	data = bb_wire_encode(reply, &size, NULL);
	start = g_get_monotonic_time();
	for (int i = 0; i < rounds; i++)
		bb_decoded_message_delete(bb_wire_decode(data, size, NULL));
	decode_us = (double)(g_get_monotonic_time() - start) / rounds;
	free(data);
	start = g_get_monotonic_time();
	sim_run(s, 20 * G_USEC_PER_SEC);
	printf("| %u | %zu | %.2f | %.2f | %.4f | %.1f |\n", nr, size,
	       answer_us, decode_us,
	       (double)(g_get_monotonic_time() - start) / 20 / nr / 1e4,
	       (double)bb_member_memory(s->nodes[0].m) / nr);
	sim_delete(s);
	sim_config_delete(c);
}

/* Longer than the delay after which an idle end sends an acknowledgement. */
#define IDLE_HEARTBEAT_MS 200
#define IDLE_US (10 * BB_US_PER_S)
#define FD_MAX 256

/* Bytes and segments sent so far on all TCP connections of this process. */
struct tcp_sent {
	uint64_t bytes;
	uint64_t segments;
};

static struct tcp_sent count_sent(void)
{
	struct tcp_sent sum = { 0, 0 };

	for (int fd = 0; fd < FD_MAX; fd++) {
		struct tcp_info info = { 0 };
		socklen_t size = sizeof(info);

		if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size))
			continue;
		sum.bytes += info.tcpi_bytes_sent;
		sum.segments += info.tcpi_segs_out;
	}
	return sum;
}

/* Receives for @for_us, or until the first message if @received is given. */
static void drain(struct bb_transport *const *t, int64_t for_us, bool *received)
{
	int64_t end_us = bb_clock_now_us() + for_us;
	struct bb_received_message *r;

	while (bb_clock_now_us() < end_us && !(received && *received)) {
		for (int i = 0; i < 2; i++)
			while ((r = bb_transport_receive(t[i]))) {
				if (received)
					*received = true;
				bb_received_message_delete(r);
			}
		g_usleep(1000);
	}
}

/* Counts the TCP bytes and segments of an idle CURVE connection. */
static void measure_connection(void)
{
	struct bb_message hello = { .type = BB_MESSAGE_HELLO };
	struct bb_transport *t[2];
	struct bb_transport_peer peer = { "b", "127.0.0.1", 0, NULL };
	struct tcp_sent before, after;
	char public_key[2][BB_CURVE_KEY_SIZE + 1];
	char secret[2][BB_CURVE_KEY_SIZE + 1];
	double heartbeats = (double)IDLE_US / (IDLE_HEARTBEAT_MS * 1000.0);
	bool received = false;

	for (int i = 0; i < 2; i++) {
		struct bb_transport_options o = {
			.address = "127.0.0.1",
			.curve_secret_key = secret[i],
			.heartbeat_interval_ms = IDLE_HEARTBEAT_MS,
			.heartbeat_timeout_ms = 10000,
			.bytes_in_metric = BB_METRIC_PEER_BYTES_IN,
			.bytes_out_metric = BB_METRIC_PEER_BYTES_OUT,
		};

		zmq_curve_keypair(public_key[i], secret[i]);
		t[i] = bb_transport_new(&o, NULL);
		g_assert(t[i]);
	}
	for (int i = 0; i < 2; i++) {
		peer.port = bb_transport_port(t[!i]);
		peer.curve_key = public_key[!i];
		bb_transport_update(t[i], &peer, 1, NULL);
	}
	while (!received) {
		bb_transport_send(t[0], 0, &hello, NULL);
		drain(t, 10000, &received);
	}
	drain(t, 100000, NULL);
	before = count_sent();
	drain(t, IDLE_US, NULL);
	after = count_sent();
	printf("An idle CURVE connection: %.1f bytes and %.2f segments a "
	       "heartbeat, with %d bytes of headers %.0f at each end.\n",
	       (double)(after.bytes - before.bytes) / heartbeats,
	       (double)(after.segments - before.segments) / heartbeats,
	       SIM_TCP_BYTES,
	       ((double)(after.bytes - before.bytes) +
		SIM_TCP_BYTES * (double)(after.segments - before.segments)) /
		       heartbeats);
	for (int i = 0; i < 2; i++)
		bb_transport_delete(t[i]);
}

int main(int argc, char **argv)
{
	static const uint32_t sizes[] = { 60, 200, 580 };
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "bench_member: %s\n", error->message);
		g_error_free(error);
		g_option_context_free(context);
		return 2;
	}
	g_option_context_free(context);
	if (only_connection) {
		measure_connection();
		return 0;
	}
	printf("interval %d ms, %d neighbours, %d entries, heartbeats every "
	       "%d ms, %d runs: median (least-greatest)\n",
	       interval_ms, neighbours, entries, heartbeat_interval_ms, runs);
	printf("| hosts | fault | method | B/s per node | start to quorum s "
	       "| quorum age s | worst quorum age s | no quorum %% | version "
	       "in force everywhere s | quorum known everywhere s | restart "
	       "of a tenth to in force s |\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		if (only_hosts && sizes[i] != (uint32_t)only_hosts)
			continue;
		for (int fault = 0; fault < FAULT_COUNT; fault++) {
			measure(sizes[i], (enum fault)fault, false);
			measure(sizes[i], (enum fault)fault, true);
		}
	}
	printf("| hosts | digest bytes | answer us | decode us | CPU of "
	       "simulated node %% | memory per seat B |\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		if (!only_hosts || sizes[i] == (uint32_t)only_hosts)
			measure_cpu(sizes[i]);
	}
	return 0;
}
