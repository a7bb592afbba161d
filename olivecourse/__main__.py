from olivecourse.cli import main

main(prog_name="olivecourse")
