process.stdout.write('');
