/*
 * Measures the goodput of load patterns with all modules that decide on
 * requests, without the breaker, without the search for a free slot, and with
 * an oracle. All methods get the same arrivals.
 *
 * usage: bench_load PATTERN...
 */
#include <stdio.h>

#include "bench/load_replay.h"

#define SEEDS 5

static const char *const method_string[LOAD_METHOD_COUNT] = {
	"modules", "without breaker", "without search", "oracle"
};

static void add_report(struct load_report *sum, const struct load_report *r)
{
	for (int i = 0; i < LOAD_KINDS_MAX; i++) {
		sum->kinds[i].requests += r->kinds[i].requests;
		sum->kinds[i].in_target += r->kinds[i].in_target;
		sum->kinds[i].late += r->kinds[i].late;
		sum->kinds[i].refused += r->kinds[i].refused;
		sum->kinds[i].failed += r->kinds[i].failed;
		sum->kinds[i].refusal_us += r->kinds[i].refusal_us;
	}
	sum->arrivals += r->arrivals;
	sum->repeat_arrivals += r->repeat_arrivals;
}

static void print_kind(const char *pattern, const char *method,
		       const struct load_kind *k, const struct load_result *r,
		       const struct load_report *sum)
{
	double all = MAX(1, r->requests);

	printf("| %s | %s | %s | %u | %.1f | %.1f | %.1f | %.1f | %.0f | %u |\n",
	       pattern, method, k->name, r->requests, 100 * r->in_target / all,
	       100 * r->late / all, 100 * r->refused / all,
	       100 * r->failed / all,
	       (double)r->refusal_us / MAX(1, r->refused) / BB_US_PER_MS,
	       sum->repeat_arrivals);
}

static int measure_pattern(const char *path)
{
	struct load_pattern p;
	char *name = g_path_get_basename(path);

	if (!load_pattern_read(&p, path)) {
		fprintf(stderr, "%s: not a valid load pattern; skipped\n",
			path);
		g_free(name);
		return -1;
	}
	for (int m = 0; m < LOAD_METHOD_COUNT; m++) {
		struct load_report sum = { 0 };

		for (uint32_t seed = 1; seed <= SEEDS; seed++) {
			struct load_report r =
				load_replay(&p, (enum load_method)m, seed);

			add_report(&sum, &r);
		}
		for (uint32_t i = 0; i < p.kinds_nr; i++)
			print_kind(name, method_string[m], &p.kinds[i],
				   &sum.kinds[i], &sum);
	}
	g_free(name);
	return 0;
}

int main(int argc, char **argv)
{
	int rc = argc < 2;

	printf("%d seeds; shares in percent of the requests asked\n"
	       "| pattern | method | kind | asked | in target | late | refused "
	       "| failed | time to refusal ms | arrivals beyond the first |\n",
	       SEEDS);
	for (int i = 1; i < argc; i++)
		rc |= measure_pattern(argv[i]) != 0;
	return rc;
}
