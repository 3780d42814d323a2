/*
 * Configuration and printing of figures for the benchmarks of libroute,
 * bench_queue.c and bench_queue_cost.c.
 */
#ifndef BAOBABWARD_ROUTE_BENCH_H
#define BAOBABWARD_ROUTE_BENCH_H

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "baobabward/config.h"

/* Runs with different seeds of which the median and the range are printed. */
#define BENCH_RUNS 5
#define BENCH_SLOTS 4

/* Configuration: a service of @n backend servers in one availability zone. */
static inline struct bb_config *make_config(size_t n)
{
	struct bb_config *c = g_new0(struct bb_config, 1);

	c->hosts = g_new0(struct bb_host, 1);
	c->services = g_new0(struct bb_service, 1);
	c->backends = g_new0(struct bb_backend, n);
	c->services->backends = g_new0(uint32_t, n);
	c->services->backends_nr = c->backends_nr = n;
	for (size_t i = 0; i < n; i++) {
		c->services->backends[i] = (uint32_t)i;
		c->backends[i].name = g_strdup_printf("backend-%zu", i);
		c->backends[i].weight = 1;
		c->backends[i].slots = BENCH_SLOTS;
	}
	return c;
}

static inline void free_config(struct bb_config *c)
{
	for (size_t i = 0; i < c->backends_nr; i++)
		g_free(c->backends[i].name);
	g_free(c->backends);
	g_free(c->services->backends);
	g_free(c->services);
	g_free(c->hosts);
	g_free(c);
}

static inline gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Prints the median and the range of BENCH_RUNS figures; sorts them. */
static inline void print_median(double *v)
{
	qsort(v, BENCH_RUNS, sizeof(*v), compare_doubles);
	printf(" | %.2f (%.2f-%.2f)", v[BENCH_RUNS / 2], v[0],
	       v[BENCH_RUNS - 1]);
}

#endif
