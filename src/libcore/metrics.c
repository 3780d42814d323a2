#include "baobabward/metrics.h"

#include <assert.h>
#include <ck_pr.h>
#include <glib.h>

#include "baobabward/clock.h"
#include "baobabward/rounds.h"
#include "libcore/thread_times.h"

/**
 * struct metric_description - how a metric is printed.
 * @name: name without the prefix baobabward_
 * @type: type in the Prometheus text format
 * @help: help text
 */
struct metric_description {
	const char *name;
	const char *type;
	const char *help;
};

/* In the order of enum bb_metric. */
static const struct metric_description descriptions[] = {
	{ "requests_total", "counter", "Requests received from callers." },
	{ "body_bytes", "gauge",
	  "Bytes counted for bodies of requests and responses in progress." },
	{ "body_bytes_forwarded", "gauge",
	  "Part of body_bytes for requests of other nodes and copies." },
	{ "body_bytes_responses", "gauge",
	  "Part of body_bytes for responses on the way to callers." },
	{ "bodies_gave_way_total", "counter",
	  "Bodies without progress dropped to make room for others." },
	{ "unanswered_total", "counter",
	  "Requests whose connection ended without a complete answer." },
	{ "answers_local_total", "counter",
	  "Requests answered by a backend server beside the entry node." },
	{ "answers_remote_total", "counter",
	  "Requests answered through another node." },
	{ "executed_total", "counter",
	  "Requests sent to a backend server beside this node." },
	{ "retries_total", "counter", "Further attempts of requests." },
	{ "retries_over_budget_total", "counter",
	  "Retries not made because the retry budget was used up." },
	{ "late_results_total", "counter",
	  "Results that arrived after the request had ended." },
	{ "cancels_total", "counter", "Cancellations sent to other nodes." },
	{ "peer_messages_bad_total", "counter",
	  "Messages of other nodes refused as malformed or of a foreign "
	  "protocol version." },
	{ "peer_messages_dropped_total", "counter",
	  "Messages not sent because the peer's send queue was full." },
	{ "peer_bytes_in_total", "counter",
	  "Bytes of data messages received." },
	{ "peer_bytes_out_total", "counter", "Bytes of data messages sent." },
	{ "control_bytes_in_total", "counter",
	  "Bytes of control messages received." },
	{ "control_bytes_out_total", "counter",
	  "Bytes of control messages sent." },
	{ "config_version", "gauge", "Version of the configuration in force." },
	{ "config_accepted_total", "counter", "Configurations accepted." },
	{ "config_refused_total", "counter", "Configurations refused." },
	{ "config_rows_refused", "gauge",
	  "Rows left out of the configuration in force." },
	{ "config_reads_total", "counter",
	  "Reads and watches of the configuration service." },
	{ "host_list_sequence", "gauge",
	  "Sequence number of the platform's list of hosts in force." },
	{ "host_list_reads_total", "counter",
	  "Reads of the platform's list of hosts." },
	{ "host_list_failures_total", "counter",
	  "Reads of the list of hosts that failed or gave a bad list." },
	{ "hosts_leaving", "gauge",
	  "Configured hosts that leave by the platform's list." },
	{ "ejections_total", "counter", "Backend servers ejected." },
	{ "ejections_withheld_total", "counter",
	  "Ejections not made because of the floor, a missing permit, or "
	  "automation being off." },
	{ "readmissions_total", "counter", "Backend servers readmitted." },
	{ "draws_total", "counter", "Draws of rate limit tokens." },
	{ "spans_lost_total", "counter",
	  "Trace spans dropped because the export queue was full." },
	{ "log_lines_left_out_total", "counter",
	  "Log lines not written: over the rate, or the reader was slow." },
	{ "notices_unreadable_total", "counter",
	  "Headers of a backend server on its limit or leaving that cannot be "
	  "decoded." },
	{ "foreign_answers_total", "counter",
	  "Answers of a backend server that have no id or that of another "
	  "request." },
	{ "unsolicited_answers_total", "counter",
	  "Idle connections closed because bytes arrived on them." },
	{ "requests_resent_total", "counter",
	  "Idempotent requests sent again on a new connection because a kept "
	  "one had been closed." },
	{ "registry_lists_total", "counter",
	  "Complete lists read from the registry of backend servers." },
	{ "registry_reads_total", "counter",
	  "Requests to the registry of backend servers." },
	{ "registry_relayed_total", "counter",
	  "Answers of peers about changes of the registry that were used." },
	{ "registry_relay_failures_total", "counter",
	  "Reads of the registry through a peer that failed or were refused." },
	{ "registry_answers_total", "counter",
	  "Answers to peers about changes of the registry." },
	{ "placed_own_zone_total", "counter",
	  "Attempts sent to backend servers in this node's availability "
	  "zone." },
	{ "placed_other_zone_total", "counter",
	  "Attempts sent to backend servers in other availability zones." },
	{ "zone_bytes_total", "counter",
	  "Bytes of requests sent to nodes in other availability zones, and of "
	  "responses from there." },
	{ "backend_reports_sent_total", "counter",
	  "Messages that told another node of changes of backend servers." },
	{ "backend_report_bytes_total", "counter",
	  "Bytes charged for those messages." },
	{ "backend_reports_used_total", "counter",
	  "Reports of other nodes on backend servers that were used." },
	{ "backend_reports_ignored_total", "counter",
	  "Such reports that were too old or of a former start." },
	{ "attempts_withheld_total", "counter",
	  "Attempts not sent because a report said that they would be "
	  "refused." },
	{ "redirects_total", "counter",
	  "Attempts that another node refused with a redirect." },
	{ "hosts_evacuated", "gauge",
	  "Hosts in the configuration in force whose availability zone is "
	  "evacuated." },
	{ "cold_times_total", "counter",
	  "Times at which a backend server beside this node became cold, or was "
	  "assumed to be." },
	{ "warmup_checks_total", "counter",
	  "Health checks sent to learn whether a backend server is cold." },
	{ "cold_refusals_total", "counter",
	  "Requests refused because a backend server beside this node is "
	  "cold." },
	{ "draws_late_total", "counter",
	  "Answers to draws that came late and were still used." },
	{ "queue_displaced_total", "counter",
	  "Waiting requests refused for one of a higher rank." },
	{ "queue_late_total", "counter",
	  "Requests that wait although their answer will come after the target "
	  "latency." },
};

static_assert(sizeof(descriptions) / sizeof(*descriptions) == BB_METRIC_COUNT,
	      "descriptions must have a row for each metric");

/* In the order of enum bb_histogram. */
static const struct metric_description histograms[] = {
	{ "answer_seconds", "histogram",
	  "Time from the arrival of a request to its answer." },
	{ "execution_seconds", "histogram",
	  "Time of a request at a backend server beside this node." },
	{ "queue_seconds", "histogram",
	  "Wait of a request for a slot of a backend server." },
};

static_assert(sizeof(histograms) / sizeof(*histograms) == BB_HISTOGRAM_COUNT,
	      "histograms must have a row for each histogram");

/* Upper bounds of the buckets; the last bucket has none. */
static const unsigned int bucket_bounds_ms[] = { 1,    2,    5,	   10,	20,
						 50,   100,  200,  500, 1000,
						 2000, 5000, 10000 };

#define BUCKETS_NR (G_N_ELEMENTS(bucket_bounds_ms) + 1)

/* Times in each bucket, not cumulated, and the sums of the times. */
static uint64_t buckets[BB_HISTOGRAM_COUNT][BUCKETS_NR];
static uint64_t sums_us[BB_HISTOGRAM_COUNT];

static uint64_t values[BB_METRIC_COUNT];
static uint64_t refusals[BB_REASON_COUNT];

void bb_metrics_add(enum bb_metric metric, uint64_t n)
{
	ck_pr_add_64(&values[metric], n);
}

void bb_metrics_set(enum bb_metric metric, uint64_t value)
{
	ck_pr_store_64(&values[metric], value);
}

uint64_t bb_metrics_get(enum bb_metric metric)
{
	return ck_pr_load_64(&values[metric]);
}

void bb_metrics_count_refusal(enum bb_reason reason)
{
	ck_pr_inc_64(&refusals[reason]);
}

uint64_t bb_metrics_refusal_count(enum bb_reason reason)
{
	return ck_pr_load_64(&refusals[reason]);
}

void bb_metrics_observe(enum bb_histogram histogram, int64_t us)
{
	size_t i = 0;

	us = MAX(us, 0);
	while (i < G_N_ELEMENTS(bucket_bounds_ms) &&
	       us > (int64_t)bucket_bounds_ms[i] * BB_US_PER_MS)
		i++;
	ck_pr_inc_64(&buckets[histogram][i]);
	ck_pr_add_64(&sums_us[histogram], (uint64_t)us);
}

static void append_histogram(GString *s, enum bb_histogram h)
{
	const char *name = histograms[h].name;
	uint64_t count = 0;

	g_string_append_printf(s,
			       "# HELP baobabward_%s %s\n"
			       "# TYPE baobabward_%s histogram\n",
			       name, histograms[h].help, name);
	for (size_t i = 0; i < BUCKETS_NR; i++) {
		count += ck_pr_load_64(&buckets[h][i]);
		if (i < G_N_ELEMENTS(bucket_bounds_ms))
			g_string_append_printf(
				s,
				"baobabward_%s_bucket{le=\"%u.%03u\"} "
				"%" G_GUINT64_FORMAT "\n",
				name, bucket_bounds_ms[i] / 1000,
				bucket_bounds_ms[i] % 1000, count);
	}
	g_string_append_printf(s,
			       "baobabward_%s_bucket{le=\"+Inf\"} "
			       "%" G_GUINT64_FORMAT "\n"
			       "baobabward_%s_sum %.6f\n"
			       "baobabward_%s_count %" G_GUINT64_FORMAT "\n",
			       name, count, name,
			       (double)ck_pr_load_64(&sums_us[h]) / BB_US_PER_S,
			       name, count);
}

static void append_rounds(GString *s)
{
	g_string_append(s, "# HELP baobabward_loop_rounds_total Rounds of a "
			   "thread's loop, by whether it waited for events.\n"
			   "# TYPE baobabward_loop_rounds_total counter\n");
	for (int i = 0; i < BB_THREAD_COUNT; i++)
		for (int waited = 0; waited < 2; waited++)
			g_string_append_printf(
				s,
				"baobabward_loop_rounds_total{thread=\"%s\","
				"waited=\"%s\"} %" G_GUINT64_FORMAT "\n",
				bb_thread_string[i], waited ? "yes" : "no",
				bb_rounds_total((enum bb_thread)i, waited));
	g_string_append(s,
			"# HELP baobabward_loop_busy_seconds_total "
			"Time for which a thread went on without waiting.\n"
			"# TYPE baobabward_loop_busy_seconds_total counter\n");
	for (int i = 0; i < BB_THREAD_COUNT; i++)
		g_string_append_printf(
			s,
			"baobabward_loop_busy_seconds_total{thread=\"%s\"} "
			"%.6f\n",
			bb_thread_string[i],
			(double)bb_rounds_busy_us((enum bb_thread)i) /
				BB_US_PER_S);
}

char *bb_metrics_text(void)
{
	GString *s = g_string_new(NULL);

	for (int i = 0; i < BB_METRIC_COUNT; i++) {
		const struct metric_description *d = &descriptions[i];

		g_string_append_printf(s,
				       "# HELP baobabward_%s %s\n"
				       "# TYPE baobabward_%s %s\n"
				       "baobabward_%s %" G_GUINT64_FORMAT "\n",
				       d->name, d->help, d->name, d->type,
				       d->name,
				       bb_metrics_get((enum bb_metric)i));
	}
	g_string_append(s, "# HELP baobabward_refused_total Requests refused "
			   "or failed, by reason.\n"
			   "# TYPE baobabward_refused_total counter\n");
	for (int i = 1; i < BB_REASON_COUNT; i++)
		g_string_append_printf(
			s,
			"baobabward_refused_total{reason=\"%s\"} "
			"%" G_GUINT64_FORMAT "\n",
			bb_reason_string[i],
			bb_metrics_refusal_count((enum bb_reason)i));
	for (int h = 0; h < BB_HISTOGRAM_COUNT; h++)
		append_histogram(s, (enum bb_histogram)h);
	append_rounds(s);
	bb_thread_times_print(s);
	return g_string_free(s, FALSE);
}
