/*
 * Counters, gauges and histograms of a process, printed in the Prometheus text
 * format.
 *
 * The set of metrics is fixed at compile time: each has an enum value, and a
 * row with its name, type and help text in a table of metrics.c, in the same
 * order.
 */
#ifndef BAOBABWARD_METRICS_H
#define BAOBABWARD_METRICS_H

#include <stdint.h>

#include "baobabward/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum bb_metric - one counter or gauge.
 */
enum bb_metric {
	BB_METRIC_REQUESTS,
	BB_METRIC_BODY_BYTES,
	BB_METRIC_BODY_BYTES_FORWARDED,
	BB_METRIC_BODY_BYTES_RESPONSES,
	BB_METRIC_BODIES_GAVE_WAY,
	BB_METRIC_UNANSWERED,
	BB_METRIC_ANSWERS_LOCAL,
	BB_METRIC_ANSWERS_REMOTE,
	BB_METRIC_EXECUTED,
	BB_METRIC_RETRIES,
	BB_METRIC_RETRIES_OVER_BUDGET,
	BB_METRIC_LATE_RESULTS,
	BB_METRIC_CANCELS,
	BB_METRIC_PEER_MESSAGES_BAD,
	BB_METRIC_PEER_MESSAGES_DROPPED,
	BB_METRIC_PEER_BYTES_IN,
	BB_METRIC_PEER_BYTES_OUT,
	BB_METRIC_CONTROL_BYTES_IN,
	BB_METRIC_CONTROL_BYTES_OUT,
	BB_METRIC_CONFIG_VERSION,
	BB_METRIC_CONFIG_ACCEPTED,
	BB_METRIC_CONFIG_REFUSED,
	BB_METRIC_CONFIG_ROWS_REFUSED,
	BB_METRIC_CONFIG_READS,
	BB_METRIC_HOST_LIST_SEQUENCE,
	BB_METRIC_HOST_LIST_READS,
	BB_METRIC_HOST_LIST_FAILURES,
	BB_METRIC_HOSTS_LEAVING,
	BB_METRIC_EJECTIONS,
	BB_METRIC_EJECTIONS_WITHHELD,
	BB_METRIC_READMISSIONS,
	BB_METRIC_DRAWS,
	BB_METRIC_SPANS_LOST,
	BB_METRIC_LOG_LINES_LEFT_OUT,
	BB_METRIC_NOTICES_UNREADABLE,
	BB_METRIC_FOREIGN_ANSWERS,
	BB_METRIC_UNSOLICITED_ANSWERS,
	BB_METRIC_REQUESTS_RESENT,
	BB_METRIC_REGISTRY_LISTS,
	BB_METRIC_REGISTRY_READS,
	BB_METRIC_REGISTRY_RELAYED,
	BB_METRIC_REGISTRY_RELAY_FAILURES,
	BB_METRIC_REGISTRY_ANSWERS,
	BB_METRIC_PLACED_OWN_ZONE,
	BB_METRIC_PLACED_OTHER_ZONE,
	BB_METRIC_ZONE_BYTES,
	BB_METRIC_REPORTS_SENT,
	BB_METRIC_REPORT_BYTES,
	BB_METRIC_REPORTS_USED,
	BB_METRIC_REPORTS_IGNORED,
	BB_METRIC_ATTEMPTS_WITHHELD,
	BB_METRIC_REDIRECTS,
	BB_METRIC_HOSTS_EVACUATED,
	BB_METRIC_COLD_TIMES,
	BB_METRIC_WARMUP_CHECKS,
	BB_METRIC_COLD_REFUSALS,
	BB_METRIC_DRAWS_LATE,
	BB_METRIC_QUEUE_DISPLACED,
	BB_METRIC_QUEUE_LATE,
	BB_METRIC_COUNT
};

/**
 * bb_metrics_add() - add to a counter; safe from any thread.
 * @metric: the counter
 * @n: amount to add
 */
void bb_metrics_add(enum bb_metric metric, uint64_t n);

/**
 * bb_metrics_set() - set a gauge; safe from any thread.
 * @metric: the gauge
 * @value: new value
 */
void bb_metrics_set(enum bb_metric metric, uint64_t value);

/**
 * bb_metrics_get() - read a counter or gauge; safe from any thread.
 * @metric: the counter or gauge
 *
 * Return: its value.
 */
uint64_t bb_metrics_get(enum bb_metric metric);

/**
 * bb_metrics_count_refusal() - count a refused or failed request by its reason;
 * safe from any thread.
 * @reason: why the request was refused or failed
 */
void bb_metrics_count_refusal(enum bb_reason reason);

/**
 * bb_metrics_refusal_count() - read the count of one reason; safe from any
 * thread.
 * @reason: why requests were refused or failed
 *
 * Return: number of requests.
 */
uint64_t bb_metrics_refusal_count(enum bb_reason reason);

/**
 * enum bb_histogram - distribution of a time.
 * @BB_HISTOGRAM_ANSWER: from the arrival of a request to its answer, at the
 *                       entry node
 * @BB_HISTOGRAM_EXECUTION: of a request at a backend server beside this node
 * @BB_HISTOGRAM_QUEUE: wait of a request for a slot of such a backend server,
 *                      at its adjacent node
 */
enum bb_histogram {
	BB_HISTOGRAM_ANSWER,
	BB_HISTOGRAM_EXECUTION,
	BB_HISTOGRAM_QUEUE,
	BB_HISTOGRAM_COUNT
};

/**
 * bb_metrics_observe() - add a time to a histogram; safe from any thread.
 * @histogram: the histogram
 * @us: the time in microseconds; a negative one counts as 0
 */
void bb_metrics_observe(enum bb_histogram histogram, int64_t us);

/**
 * bb_metrics_text() - print all metrics in the Prometheus text format.
 *
 * Return: string that the caller frees with g_free().
 */
char *bb_metrics_text(void);

#ifdef __cplusplus
}
#endif
#endif
