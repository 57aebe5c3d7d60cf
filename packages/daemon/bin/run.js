#!/usr/bin/env node
import { loadEntry } from './load.js';

await loadEntry('main');
