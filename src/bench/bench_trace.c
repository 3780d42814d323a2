/*
 * Measures the cost of traces: CPU time of the thread that serves requests,
 * with and without a tracer, and of the exporter together with a collector in
 * the same process.
 *
 * usage: bench_trace [RUNS]
 */
#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "baobabward/clock.h"
#include "baobabward/metrics.h"
#include "baobabward/trace.h"

#define REQUESTS 20000
#define SPANS_PER_REQUEST 4
/* Spans of the buffer: all of a run, so that none is lost. */
#define CAPACITY_SPANS (1u << 17)
#define RUNS_DEFAULT 11
#define RUNS_MAX 101
/* Requests a second of a node: 100,000 requests/s over 580 hosts. */
#define TARGET_RATE_PER_S (100000.0 / 580)

/* Collector: accepts any request and answers with an empty object. */
static enum MHD_Result on_request(void *data, struct MHD_Connection *c,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *size, void **request)
{
	static char empty[] = "{}";
	static int begun;
	struct MHD_Response *r;
	enum MHD_Result rc;

	(void)data;
	(void)url;
	(void)method;
	(void)version;
	(void)upload;
	if (!*request || *size) {
		*request = &begun;
		*size = 0;
		return MHD_YES;
	}
	r = MHD_create_response_from_buffer(2, empty, MHD_RESPMEM_PERSISTENT);
	rc = MHD_queue_response(c, 200, r);
	MHD_destroy_response(r);
	return rc;
}

static struct MHD_Daemon *collector_new(char *url, size_t size)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	struct MHD_Daemon *d;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	d = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL,
			     on_request, NULL, MHD_OPTION_SOCK_ADDR, &a,
			     MHD_OPTION_END);
	if (!d) {
		fprintf(stderr,
			"bench_trace: cannot start the collector on 127.0.0.1\n");
		exit(1);
	}
	g_snprintf(url, size, "http://127.0.0.1:%u/v1/traces",
		   MHD_get_daemon_info(d, MHD_DAEMON_INFO_BIND_PORT)->port);
	return d;
}

static double cpu_us(clockid_t clock)
{
	struct timespec t;

	clock_gettime(clock, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Makes the calls of the entry node and the adjacent node for one request. */
static void trace_request(struct bb_tracer *t)
{
	static const char parent[] =
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
	char text[BB_TRACEPARENT_SIZE];
	struct bb_trace_context c;
	struct bb_span *spans[SPANS_PER_REQUEST];

	bb_tracer_context(t, parent, sizeof(parent) - 1, &c);
	for (int i = 0; i < SPANS_PER_REQUEST; i++) {
		spans[i] = bb_span_begin(t, "request", BB_SPAN_SERVER, &c,
					 bb_clock_now_us());
		bb_span_set_attribute(spans[i], BB_SPAN_ROUTE, "lookup", 6);
		bb_span_set_attribute(spans[i], BB_SPAN_ACCOUNT, "account-1",
				      9);
		bb_span_set_attribute(spans[i], BB_SPAN_BACKEND, "orders-01",
				      9);
		bb_traceparent_format(&c, text);
	}
	for (int i = 0; i < SPANS_PER_REQUEST; i++)
		bb_span_end(t, spans[i], BB_VERDICT_RAN, BB_REASON_NONE, 200,
			    bb_clock_now_us());
}

/* CPU time for one request. */
struct cpu_times {
	double serving_us;
	double exporting_us;
};

/*
 * Measures one run, without a tracer if @url is NULL. The exporter is idle
 * while requests are served: its interval is longer than the run, and
 * bb_tracer_delete() exports all spans.
 */
static struct cpu_times run(const char *url)
{
	struct bb_tracer_options o = {
		.url = url,
		.host = "host-1",
		.ratio = 1,
		.capacity = CAPACITY_SPANS,
		.interval_us = 3600 * BB_US_PER_S,
		.flush_us = 60 * BB_US_PER_S,
	};
	struct bb_error err;
	struct bb_tracer *t = url ? bb_tracer_new(&o, &err) : NULL;
	double start = cpu_us(CLOCK_THREAD_CPUTIME_ID);
	struct cpu_times f;

	for (int i = 0; i < REQUESTS; i++)
		trace_request(t);
	f.serving_us = (cpu_us(CLOCK_THREAD_CPUTIME_ID) - start) / REQUESTS;
	start = cpu_us(CLOCK_PROCESS_CPUTIME_ID);
	bb_tracer_delete(t);
	f.exporting_us = (cpu_us(CLOCK_PROCESS_CPUTIME_ID) - start) / REQUESTS;
	return f;
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Prints the median and the range, and returns the median. */
static double print_times(const char *name, double *values, int runs)
{
	double median;

	qsort(values, (size_t)runs, sizeof(*values), compare);
	median = values[runs / 2];
	printf("%-32s median %7.3f us, %7.3f to %7.3f\n", name, median,
	       values[0], values[runs - 1]);
	return median;
}

int main(int argc, char **argv)
{
	int runs = argc > 1 ? atoi(argv[1]) : RUNS_DEFAULT;
	double off[RUNS_MAX], on[RUNS_MAX], exporting[RUNS_MAX];
	struct MHD_Daemon *collector;
	char url[64];
	double sum;

	if (runs < 1 || runs > RUNS_MAX) {
		fprintf(stderr, "usage: bench_trace [RUNS]\n");
		return 2;
	}
	collector = collector_new(url, sizeof(url));
	for (int i = 0; i < runs; i++) {
		struct cpu_times f = run(url);

		off[i] = run(NULL).serving_us;
		on[i] = f.serving_us;
		exporting[i] = f.exporting_us;
	}
	MHD_stop_daemon(collector);
	printf("CPU time of a request with %d spans, %d runs of %d requests\n",
	       SPANS_PER_REQUEST, runs, REQUESTS);
	print_times("serving thread, no tracer", off, runs);
	sum = print_times("serving thread, all recorded", on, runs);
	sum += print_times("exporter and collector", exporting, runs);
	printf("at %.0f requests/s: %.2f%% of a core\n", TARGET_RATE_PER_S,
	       sum * TARGET_RATE_PER_S / 1e4);
	printf("spans lost: %" G_GUINT64_FORMAT "\n",
	       bb_metrics_get(BB_METRIC_SPANS_LOST));
	return 0;
}
