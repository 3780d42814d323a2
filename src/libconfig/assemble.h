/*
 * Builds a snapshot from the pages of an index in steps, so that the control
 * thread can do other work in between.
 */
#ifndef LIBCONFIG_ASSEMBLE_H
#define LIBCONFIG_ASSEMBLE_H

#include "baobabward/publish.h"

/* A snapshot that is being built. */
struct bb_assembly;

/* Starts an assembly. The index must be expanded and must outlive it. */
struct bb_assembly *bb_assembly_new(const struct bb_index *index);
/* Reads up to @pages pages; returns 1 if pages are left, 0 if not, or -1. */
int bb_assembly_step(struct bb_assembly *a, size_t pages, bb_page_find_fn *find,
		     void *context, struct bb_error *err);
/*
 * After the last step, checks the whole and returns the snapshot, or NULL;
 * always frees @a.
 */
struct bb_config *bb_assembly_finish(struct bb_assembly *a,
				     struct bb_error *err);
/* Cancels an assembly, which may be NULL. */
void bb_assembly_delete(struct bb_assembly *a);

#endif
