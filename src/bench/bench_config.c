/*
 * Measures a configuration of the target size: time to parse, memory, lookups,
 * and the cost of a change to one client account, transferred as pages or as a
 * whole document.
 *
 * usage: bench_config [document HOSTS PORT]
 *
 * "document" only prints a document, for full_size.sh: all routes and client
 * accounts, HOSTS hosts without CURVE keys, and PORT of 127.0.0.1 as the
 * address of all backend servers, which one process serves.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/config.h"
#include "baobabward/keys.h"
#include "baobabward/publish.h"
#include "baobabward/source.h"

#define HOSTS 580
#define SERVICES 470
#define BACKENDS 7600
#define ROUTES 11000
#define ACCOUNTS 41000
/* Changed accounts a day, for the bytes a second that a node reads. */
#define CHANGES_PER_DAY 1300
#define SECONDS_PER_DAY 86400
#define RUNS 9
#define LOOKUPS 1000000

/**
 * struct document_size - numbers of rows in a document.
 * @hosts: hosts
 * @services: services
 * @backends: backend servers
 * @port: port on 127.0.0.1 of all backend servers; 0 if each has an address of
 *	  its own
 */
struct document_size {
	int hosts;
	int services;
	int backends;
	int port;
};

static const struct document_size target_size = { HOSTS, SERVICES, BACKENDS,
						  0 };

static void add_hosts(GString *s, const struct document_size *z)
{
	g_string_append(s, ",\"hosts\":[");
	for (int i = 0; i < z->hosts; i++) {
		char digits[48];

		g_snprintf(digits, sizeof(digits), "%040d", i);
		g_string_append_printf(
			s,
			"%s{\"name\":\"host-%d\",\"region\":\"r%d\","
			"\"zone\":\"z%d\",\"address\":\"127.1.%d.%d\","
			"\"data_port\":7001,\"control_port\":7002,"
			"\"curve_key\":\"%s\"}",
			i ? "," : "", i, i % 2, i % 5, i / 250, i % 250 + 1,
			!z->port ? digits : "");
	}
	g_string_append(s, "],\"services\":[");
	for (int i = 0; i < z->services; i++)
		g_string_append_printf(
			s, "%s{\"name\":\"service-%d\",\"floor_percent\":60}",
			i ? "," : "", i);
}

static void add_backends(GString *s, const struct document_size *z)
{
	g_string_append(s, "],\"backends\":[");
	for (int i = 0; i < z->backends; i++) {
		char address[32] = "127.0.0.1";

		if (!z->port)
			g_snprintf(address, sizeof(address), "127.1.%d.%d",
				   i % z->hosts / 250, i % z->hosts % 250 + 1);
		g_string_append_printf(
			s,
			"%s{\"name\":\"backend-%d\",\"host\":\"host-%d\","
			"\"service\":\"service-%d\","
			"\"url\":\"http://%s:%d\",\"weight\":1,"
			"\"slots\":5,\"max_connections\":330,\"state\":\"in\"}",
			i ? "," : "", i, i % z->hosts, i % z->services, address,
			z->port ? z->port : 8000 + i / z->hosts);
	}
}

static void add_routes(GString *s, const struct document_size *z)
{
	g_string_append(s, "],\"routes\":[");
	for (int i = 0; i < ROUTES; i++)
		g_string_append_printf(
			s,
			"%s{\"name\":\"route-%d\","
			"\"path_prefix\":\"/service-%d/resource-%d\","
			"\"methods\":[\"GET\",\"POST\"],"
			"\"service\":\"service-%d\",\"idempotent\":%s,"
			"\"access\":\"open\",\"max_body_bytes\":65536,"
			"\"timeout_ms\":2000}",
			i ? "," : "", i, i % z->services, i, i % z->services,
			i % 2 ? "true" : "false");
}

static void add_accounts(GString *s)
{
	g_string_append(s, "],\"accounts\":[");
	for (int i = 0; i < ACCOUNTS; i++) {
		char key[32];
		char hex[BB_KEY_HASH_HEX_SIZE];

		g_snprintf(key, sizeof(key), "bbk_%d", i);
		bb_key_hash_hex(key, strlen(key), hex);
		g_string_append_printf(
			s,
			"%s{\"name\":\"account-%d\",\"rate_per_s\":10,"
			"\"burst\":20,\"weight\":1,\"key_hashes\":[\"%s\"]}",
			i ? "," : "", i, hex);
	}
	g_string_append(s, "]}");
}

static GString *make_document(const struct document_size *z)
{
	GString *s = g_string_new("{\"version\":1,\"automation\":true,"
				  "\"idempotency_window_ms\":60000");

	add_hosts(s, z);
	add_backends(s, z);
	add_routes(s, z);
	add_accounts(s);
	return s;
}

static int compare(const void *a, const void *b)
{
	double d = *(const double *)a - *(const double *)b;

	return d < 0 ? -1 : d > 0;
}

static void print_runs(const char *what, const char *unit, double *runs)
{
	qsort(runs, RUNS, sizeof(*runs), compare);
	printf("%-46s %10.2f %-6s (%.2f to %.2f)\n", what, runs[RUNS / 2], unit,
	       runs[0], runs[RUNS - 1]);
}

static struct bb_config *parse(const char *text, size_t size)
{
	struct bb_error err;
	struct bb_config *c = bb_config_parse(text, size, &err);

	if (!c) {
		fprintf(stderr, "bench_config: document refused: %s\n",
			err.message);
		exit(1);
	}
	return c;
}

static double heap_kib(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd) / 1024;
}

/* Peak of the resident set since the last reset, in KiB. */
static double peak_kib(bool reset)
{
	char *text = NULL;
	double kib = 0;

	if (reset) {
		FILE *f = fopen("/proc/self/clear_refs", "we");

		malloc_trim(0);
		if (f) {
			fputs("5", f);
			fclose(f);
		}
	}
	if (g_file_get_contents("/proc/self/status", &text, NULL, NULL)) {
		const char *line = strstr(text, "VmHWM:");

		if (line)
			kib = strtod(line + strlen("VmHWM:"), NULL);
		g_free(text);
	}
	return kib;
}

static void bench_parse(const GString *document)
{
	double ms[RUNS];
	double before = heap_kib();
	double base;
	struct bb_config *c;

	base = peak_kib(true);
	c = parse(document->str, document->len);
	printf("%-46s %10.0f KiB\n", "whole document: peak while parsing",
	       peak_kib(false) - base);
	printf("%-46s %10.0f KiB\n", "snapshot in memory", heap_kib() - before);
	bb_config_delete(c);
	for (int i = 0; i < RUNS; i++) {
		int64_t start = bb_clock_now_us();

		c = parse(document->str, document->len);
		ms[i] = (double)(bb_clock_now_us() - start) / BB_US_PER_MS;
		bb_config_delete(c);
	}
	print_runs("whole document: parse and validate", "ms", ms);
}

/*
 * Memory per row of a table: difference between the whole document and one
 * without the rows of that table.
 */
static void bench_memory(const GString *document)
{
	static const char *const names[] = { "\"backends\":[", "\"routes\":[",
					     "\"accounts\":[" };
	const int nr[] = { BACKENDS, ROUTES, ACCOUNTS };
	double before;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *start = strstr(document->str, names[i]);
		char *end = strstr(start, "}],\"");
		GString *without;
		struct bb_config *c;
		double with_kib, without_kib;

		if (!end)
			end = document->str + document->len - 3;
		without = g_string_new_len(document->str,
					   start + strlen(names[i]) -
						   document->str);
		g_string_append(without, end + 1);
		before = heap_kib();
		c = parse(document->str, document->len);
		with_kib = heap_kib() - before;
		bb_config_delete(c);
		before = heap_kib();
		c = parse(without->str, without->len);
		without_kib = heap_kib() - before;
		bb_config_delete(c);
		g_string_free(without, TRUE);
		printf("memory per row of %-28.*s %10.0f bytes\n",
		       (int)strlen(names[i]) - 4, names[i] + 1,
		       (with_kib - without_kib) * 1024 / nr[i]);
	}
}

static void bench_lookups(const struct bb_config *c)
{
	GRand *r = g_rand_new_with_seed(1);
	GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
	double keys[RUNS], routes[RUNS], names[RUNS], scan[RUNS];
	size_t found = 0;
	bool known;

	for (int i = 0; i < 1024; i++) {
		int n = g_rand_int_range(r, 0, ROUTES);

		g_ptr_array_add(paths,
				g_strdup_printf("/service-%d/resource-%d/x/%d",
						n % SERVICES, n, n));
	}
	for (int run = 0; run < RUNS; run++) {
		int64_t start = bb_clock_now_us();

		for (int i = 0; i < LOOKUPS; i++)
			found += bb_config_match_route(c, NULL,
						       paths->pdata[i & 1023],
						       BB_METHOD_GET,
						       &known) != BB_NO_ROW;
		routes[run] =
			(double)(bb_clock_now_us() - start) * 1000 / LOOKUPS;
		start = bb_clock_now_us();
		for (int i = 0; i < LOOKUPS; i++) {
			char key[16] = "bbk_";
			int n = (int)(i * 7919LL % ACCOUNTS);
			int size = 4 + g_snprintf(key + 4, 12, "%d", n);

			found += bb_config_find_key(c, key, size) != BB_NO_ROW;
		}
		keys[run] =
			(double)(bb_clock_now_us() - start) * 1000 / LOOKUPS;
		start = bb_clock_now_us();
		for (int i = 0; i < LOOKUPS; i++) {
			const char *name =
				c->accounts[(int)(i * 7919LL % ACCOUNTS)].name;

			found += bb_config_find_account(
					 c, name, strlen(name)) != BB_NO_ROW;
		}
		names[run] =
			(double)(bb_clock_now_us() - start) * 1000 / LOOKUPS;
		start = bb_clock_now_us();
		for (int i = 0; i < 1000; i++)
			for (size_t j = 0; j < c->routes_nr; j++)
				found += g_str_has_prefix(
					paths->pdata[i],
					c->routes[j].path_prefix);
		scan[run] = (double)(bb_clock_now_us() - start);
	}
	print_runs("route match, 4 segments", "ns", routes);
	print_runs("baseline: route match by scan", "ns", scan);
	print_runs("key lookup with its hash", "ns", keys);
	print_runs("account lookup by name", "ns", names);
	if (!found)
		exit(1);
	g_ptr_array_free(paths, TRUE);
	g_rand_free(r);
}

static struct bb_config *config_in_force;

static void on_accepted(void *context, struct bb_config *c)
{
	(void)context;
	bb_config_delete(config_in_force);
	config_in_force = c;
}

/*
 * Processes a complete version until it is in force. Returns the time of the
 * longest call of bb_source_perform() in ms; it blocks the control thread.
 */
static double put_in_force(struct bb_source *s, uint64_t version)
{
	int64_t longest_us = 0;

	while (bb_source_status(s)->version != version) {
		int64_t start = bb_clock_now_us();

		bb_source_perform(s, 1);
		longest_us = MAX(longest_us, bb_clock_now_us() - start);
	}
	return (double)longest_us / BB_US_PER_MS;
}

static const struct bb_page *find_page(const struct bb_publication *p,
				       const char *name)
{
	for (size_t i = 0; i < p->pages_nr; i++)
		if (!strcmp(p->pages[i].name, name))
			return &p->pages[i];
	exit(1);
}

static const struct bb_page *find_in_publication(void *context,
						 const char *name)
{
	return find_page(context, name);
}

/* Offers the index and all missing pages to a node; returns their bytes. */
static double transfer_pages(struct bb_source *s,
			     const struct bb_publication *p, size_t *pages)
{
	size_t bytes = p->pages[0].size;
	const char *name;
	struct bb_error err;

	*pages = 0;
	bb_source_offer_page(s, &p->pages[0], &err);
	while (bb_source_missing_pages(s, &name, 1)) {
		const struct bb_page *page = find_page(p, name);

		if (bb_source_offer_page(s, page, &err))
			exit(1);
		bytes += page->size;
		(*pages)++;
	}
	return (double)bytes;
}

/* Changes a random account in each run and counts the bytes a node reads. */
static void bench_change(struct bb_config *c, const GString *document)
{
	GRand *r = g_rand_new_with_seed(2);
	uint8_t public_key[BB_SIGNING_PUBLIC_KEY_SIZE];
	uint8_t secret[BB_SIGNING_SECRET_KEY_SIZE];
	double bytes[RUNS], build_ms[RUNS], apply_ms[RUNS], turn_ms[RUNS];
	struct bb_source_options o;
	struct bb_error err;
	struct bb_source *s;
	struct bb_publication *p;
	size_t pages;
	double base;

	bb_signing_key_generate(public_key, secret, &err);
	bb_source_options_init(&o);
	memcpy(o.public_key, public_key, sizeof(public_key));
	o.on_accepted = on_accepted;
	s = bb_source_new(&o, &err);
	p = bb_publication_build(c, NULL, secret, &err);
	base = peak_kib(true);
	transfer_pages(s, p, &pages);
	put_in_force(s, c->version);
	printf("%-46s %10.0f KiB\n", "pages: peak, first version, pages kept",
	       peak_kib(false) - base);
	printf("%-46s %10zu\n", "pages, without the index", pages);
	printf("%-46s %10zu bytes\n", "index page", p->pages[0].size);
	printf("%-46s %10zu\n", "bundles, read by a node that starts",
	       p->bundles_nr);
	for (int run = 0; run < RUNS; run++) {
		struct bb_index *index = bb_index_parse(&p->pages[0], &err);
		struct bb_publication *q;
		int64_t start;

		bb_index_expand(index, find_in_publication, p, &err);
		c->version++;
		c->accounts[g_rand_int_range(r, 0, ACCOUNTS)].burst = 30 + run;
		start = bb_clock_now_us();
		q = bb_publication_build(c, index, secret, &err);
		build_ms[run] =
			(double)(bb_clock_now_us() - start) / BB_US_PER_MS;
		start = bb_clock_now_us();
		bytes[run] = transfer_pages(s, q, &pages);
		if (pages != 2)
			exit(1);
		turn_ms[run] = put_in_force(s, c->version);
		apply_ms[run] =
			(double)(bb_clock_now_us() - start) / BB_US_PER_MS;
		bb_publication_delete(p);
		bb_index_delete(index);
		p = q;
	}
	printf("%-46s %10.0f KiB\n", "pages: peak over all changes",
	       peak_kib(false) - base);
	print_runs("one account: index, list and page", "bytes", bytes);
	printf("%-46s %10.0f bytes/s\n", "  at 1,300 changes a day",
	       bytes[RUNS / 2] * CHANGES_PER_DAY / SECONDS_PER_DAY);
	printf("%-46s %10zu bytes\n", "baseline: whole document",
	       document->len);
	printf("%-46s %10.0f bytes/s\n", "  at 1,300 changes a day",
	       (double)document->len * CHANGES_PER_DAY / SECONDS_PER_DAY);
	print_runs("one account: verify, assemble, validate", "ms", apply_ms);
	print_runs("  longest turn of the control thread", "ms", turn_ms);
	print_runs("one account: build and sign all pages", "ms", build_ms);
	bb_publication_delete(p);
	bb_source_delete(s);
	bb_config_delete(config_in_force);
	g_rand_free(r);
}

/* Prints the document of a smaller fleet; rows per host as at the target. */
static int print_document(const char *hosts, const char *port)
{
	struct document_size z = { .hosts = (int)strtol(hosts, NULL, 10),
				   .port = (int)strtol(port, NULL, 10) };
	GString *document;

	if (z.hosts < 1 || z.hosts > HOSTS || z.port < 1 || z.port > 65535) {
		fputs("usage: bench_config [document HOSTS PORT]\n", stderr);
		return 2;
	}
	z.services = MAX(z.hosts * SERVICES / HOSTS, 1);
	z.backends = z.hosts * BACKENDS / HOSTS;
	document = make_document(&z);
	puts(document->str);
	g_string_free(document, TRUE);
	return 0;
}

int main(int argc, char **argv)
{
	GString *document;
	struct bb_config *c;

	if (argc == 4 && !strcmp(argv[1], "document"))
		return print_document(argv[2], argv[3]);
	document = make_document(&target_size);
	printf("%d hosts, %d services, %d backend servers, %d routes, "
	       "%d client accounts\n",
	       HOSTS, SERVICES, BACKENDS, ROUTES, ACCOUNTS);
	bench_parse(document);
	bench_memory(document);
	c = parse(document->str, document->len);
	bench_lookups(c);
	bench_change(c, document);
	bb_config_delete(c);
	g_string_free(document, TRUE);
	return 0;
}
