/* Measures the time and the memory of single operations of libroute. */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>

#include "baobabward/balance.h"
#include "baobabward/clock.h"
#include "baobabward/queue.h"
#include "bench/route_bench.h"

static size_t heap_bytes(void)
{
	return mallinfo2().uordblks;
}

static void cost_choose(size_t n)
{
	struct bb_config *c = make_config(n);
	struct bb_balance_options o = { .config = c, .seed = 1 };
	size_t before = heap_bytes();
	struct bb_balance *b = bb_balance_new(&o);
	size_t bytes = heap_bytes() - before;
	double ns[BENCH_RUNS];

	for (int run = 0; run < BENCH_RUNS; run++) {
		int64_t start = bb_clock_now_us();

		for (int i = 0; i < 1000000; i++) {
			struct bb_choice x = bb_balance_choose(b, NULL, 0, i);

			bb_path_release(x.path);
		}
		ns[run] = (double)(bb_clock_now_us() - start) / 1e3;
	}
	printf("| choose and end, ns, pool of %zu", n);
	print_median(ns);
	printf(" |\n| memory of the balance, bytes per backend server, pool "
	       "of %zu | %.0f |\n",
	       n, (double)bytes / (double)n);
	bb_balance_delete(b);
	free_config(c);
}

/*
 * Time of a push, pop and finish with 32 requests waiting. An entry is pushed
 * again when it has finished.
 */
static double queue_ns(struct bb_queue *q, struct bb_queue_entry *r,
		       int accounts, int64_t *now_us)
{
	int64_t start = bb_clock_now_us();

	for (int i = 0; i < 1000000; i++) {
		struct bb_queue_entry *e = &r[i % 32];
		int64_t wake_us;

		if (i >= 32) {
			e = bb_queue_pop(q, BENCH_SLOTS, *now_us, &wake_us);
			*now_us += 1000;
			bb_queue_finish(q, e, true, *now_us);
		}
		e->account = (uint64_t)(i % accounts);
		e->weight = 1;
		e->idempotent = true;
		e->not_after_us = INT64_MAX;
		bb_queue_push(q, e, *now_us);
	}
	bb_queue_drain(q, BB_REASON_STOPPING);
	return (double)(bb_clock_now_us() - start) / 1e3;
}

static void cost_queue(int accounts)
{
	struct bb_queue_options o = { .slots = BENCH_SLOTS };
	struct bb_queue_entry *r = g_new0(struct bb_queue_entry, 32);
	size_t before = heap_bytes();
	struct bb_queue *q = bb_queue_new(&o);
	double ns[BENCH_RUNS];
	int64_t now_us = 0;
	size_t bytes;

	for (int run = 0; run < BENCH_RUNS; run++)
		ns[run] = queue_ns(q, r, accounts, &now_us);
	bytes = heap_bytes() - before;
	printf("| push, pop and finish with 32 waiting, ns, %d accounts",
	       accounts);
	print_median(ns);
	printf(" |\n| memory of the queue, bytes, %d accounts | %zu |\n",
	       accounts, bytes);
	bb_queue_delete(q);
	g_free(r);
}

int main(void)
{
	printf("| operation | median (min-max) |\n|---|---|\n");
	cost_choose(5);
	cost_choose(25);
	cost_choose(400);
	cost_queue(1);
	cost_queue(8);
	cost_queue(32);
	return 0;
}
